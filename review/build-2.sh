#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10: plain modules without dependencies, which are checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
