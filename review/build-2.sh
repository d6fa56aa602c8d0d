#!/bin/sh
# Builds the stand-ins that the scripts review/6 to review/10 start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --locked \
    --manifest-path review/standin-2/Cargo.toml
