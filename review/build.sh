#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules for Node.js and need no build; this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
