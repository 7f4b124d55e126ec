#!/bin/sh
# The stand-ins of the cases are plain Node scripts in this folder: nothing has to be compiled. This
# checks that they can be loaded, and that the build of the deploy file has left the router.
set -e
cd "$(dirname "$0")/.."
test -f target/router.mjs
for file in review/lib/*.mjs review/[1-6]/*.mjs; do
  node --check "$file"
done
