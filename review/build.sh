#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file: the stand-ins for
# clients, servers and the operator. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/reviewer review/main.rs
