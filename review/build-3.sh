#!/usr/bin/env bash
# Builds the stand-ins of the third review, from the repository's root, after the build of the deploy file. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
