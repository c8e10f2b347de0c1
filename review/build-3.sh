#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/release.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -C opt-level=2 -o target/release/review-3 review/standin-3/main.rs
