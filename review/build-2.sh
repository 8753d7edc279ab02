#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain modules without dependencies, so that
# this only checks their syntax; the programs themselves are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
