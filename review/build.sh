#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripts of review/ start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path harness/Cargo.toml --target-dir ../target/review
