#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
