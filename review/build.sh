#!/usr/bin/env bash
# Builds what the scripts start: the two programs. The stand-ins are plain modules of Node.js and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/entry.mjs ] || [ ! -f target/control.mjs ]; then
  node scripts/bundlePlatform.mjs
fi
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  node --check "$file"
done
