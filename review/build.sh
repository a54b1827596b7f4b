#!/bin/sh
# Builds the stand-ins of the scripts; needs only the Rust toolchain. The program under test is built as the deploy file says.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --locked --target-dir ../../target/review
