#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program without dependencies, for the kind of machine that this runs on.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/hopmoor-review-2 review/standin-2/main.rs
