#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
for built in ../../target/rackvale_box.cjs ../../dist/platform/standin/mod.js; do
  if [ ! -f "$built" ]; then
    echo "could not run: $built is not built" | tee record.txt >&2
    exit 2
  fi
done
exec node case.mjs
