#!/bin/bash
# The stand-ins of the cases 11 to 15 are plain JavaScript for the Node of the project; there is nothing to compile.
cd "$(dirname "$0")/.." && node --check review/support-3/standIns.mjs && for file in review/1[1-5]/run.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
