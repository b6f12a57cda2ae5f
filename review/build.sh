#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js: nothing is compiled. This checks that they
# can be read and that the build of the deploy file has made the box program.
cd "$(dirname "$0")/.." || exit 1
for module in review/lib/*.mjs review/*/case.mjs; do
  node --check "$module" || exit 1
done
test -f target/rackvale_box.cjs || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
