#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file. It needs no network. Case 9 also needs the
# project's coordinator, which the deploy file does not build; without it the other cases run nevertheless.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
cargo build --release --locked --offline -p coordinator || echo "no coordinator: case 9 cannot run" >&2
