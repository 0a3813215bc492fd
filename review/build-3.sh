#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the compiler alone; run it in the repository root.
set -e
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-ins-3 review/stand-ins-3/platform/main.rs
