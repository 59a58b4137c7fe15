#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 with the compiler alone: no packages, no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for source in review/standins-2/case_*.rs; do
    name=$(basename "$source" .rs | tr _ -)
    rustc --edition 2024 -O "$source" -o "target/review-2/$name" || exit 2
done
