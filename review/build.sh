#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript for Node without dependencies, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs; do node --check "$file"; done
