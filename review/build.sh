#!/bin/sh
# Builds the stand-ins of the scripts with the compiler alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/main.rs
