#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use the standard library only, so they are only
# compiled to see that they are whole; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -B -c 'import asyncio, sys, tomllib; assert sys.version_info >= (3, 11)'
