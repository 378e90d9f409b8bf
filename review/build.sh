#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
