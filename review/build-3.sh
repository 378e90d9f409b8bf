#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/standins-3
