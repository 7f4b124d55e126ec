#!/usr/bin/env bash
# Builds what the scripts of the second review start. Its stand-ins are plain JavaScript, so this
# only checks that they can be parsed and that the build of the deploy file has been done.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do node --check "$file"; done
test -f ../target/router.cjs
