#!/bin/sh
# Builds the stand-ins of the review with the toolchain alone, without a network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standins review/standin/main.rs
