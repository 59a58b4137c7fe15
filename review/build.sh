#!/bin/sh
# Builds the stand-ins of the scripted cases with the standard library alone, and the product as
# the deploy file does if it is not built yet.
set -e
cd "$(dirname "$0")/.."
[ -x target/release/sloetrail-adapter ] || cargo build --release --locked --offline -p sloetrail-adapter
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
