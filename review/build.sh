#!/usr/bin/env bash
# Builds the stand-ins of the review. They use the standard library alone, so this needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline
