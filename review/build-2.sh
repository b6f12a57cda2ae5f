#!/bin/sh
# Compiles the project with its stand-ins into dist/, from which the scripts of the cases start them.
# Run it after the build line of deploy/system.toml, which installs the packages and makes target/.
set -e
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.json
