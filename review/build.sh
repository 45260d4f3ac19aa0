#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review, with the versions of the
# repository's lock file, which the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cp Cargo.lock review/standin/Cargo.lock
cargo build --offline --release --manifest-path review/standin/Cargo.toml --target-dir target/review
