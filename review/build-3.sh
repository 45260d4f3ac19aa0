#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
