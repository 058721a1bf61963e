#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standins
