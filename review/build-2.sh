#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network. The gateway is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
