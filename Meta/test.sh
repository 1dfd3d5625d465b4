#!/usr/bin/env bash
# Installs, builds and runs all tests. Entries of KNOWN-RED.txt run separately:
# their failures are printed but don't fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh

known_red=$(sed -e '/^#/d' -e 's/ *|.*//' KNOWN-RED.txt | paste -sd '|')
if [ -z "$known_red" ]; then
  ctest --test-dir build --output-on-failure -j 4
  exit
fi
ctest --test-dir build --output-on-failure -j 4 -E "^($known_red)\$"
echo "known to fail, passed over:"
sed '/^#/d' KNOWN-RED.txt
ctest --test-dir build -R "^($known_red)\$" > build/known-red.log || true
grep -E 'Passed|Failed|Timeout' build/known-red.log || true
