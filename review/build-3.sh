#!/bin/sh
# Builds the stand-ins of cases 11 to 15 with the toolchain that builds the proxy; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec rustc --edition 2024 -O -o target/review-3/stand review/stand.rs
