#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review into target/review-2, with the versions of
# the repository's lock file, which the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cp Cargo.lock review/standin-2/Cargo.lock
cargo build --offline --release --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
