#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the programs of the deploy file.
# Their stand-ins are plain JavaScript without dependencies: there is nothing to compile, so they are
# only checked.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
