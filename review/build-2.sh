#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are scripts for Node without dependencies, so there is nothing to compile.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
