#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. The program under test is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/rig.rs -o target/review-2/rig
