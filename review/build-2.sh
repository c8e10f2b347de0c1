#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/review-2
