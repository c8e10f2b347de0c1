#!/bin/sh
# Builds the stand-ins of the scripts in this folder; they need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 review/standin/main.rs -o target/review/standin
