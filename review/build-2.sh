#!/bin/sh
# The stand-ins of the cases 4 to 8 are modules that Node.js runs as they are; this checks that it can read them.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-8]/run.mjs; do
  node --check "$file" || exit 1
done
