#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network. The system itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
