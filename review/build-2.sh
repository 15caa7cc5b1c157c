#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler alone. They need no package.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
out=../../target/review-2
mkdir -p "$out"
for source in *.rs; do
  name=${source%.rs}
  if [ "$name" != common ]; then
    rustc --edition 2024 -O -o "$out/$name" "$source"
  fi
done
