#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in review/stand-ins-3/*.rs; do
    name=$(basename "$program" .rs)
    [ "$name" = harness ] || rustc --edition 2024 -O -o "target/review-3/$name" "$program"
done
