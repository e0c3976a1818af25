#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/standin standin/main.rs
