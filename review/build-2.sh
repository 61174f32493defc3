#!/bin/bash
# Builds the stand-ins of the cases from `review/6` on, with the compiler alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
