#!/bin/bash
# The stand-ins of the cases are plain JavaScript modules without dependencies: nothing is compiled.
# Checks that each of them can be read and that the gateway was built.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do node --check "$module"; done
test -f ../target/cassiamast.cjs
