#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15. They need the standard library alone, and so no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/case_*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O -A dead_code -o "target/review-3/$name" "$source"
done
