#!/usr/bin/env bash
# Exit 1: the rule is broken; 0: it held; 2: not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
