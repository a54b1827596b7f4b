#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library alone, so that no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml
