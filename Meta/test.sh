#!/usr/bin/env bash
# Installs, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh
ctest --test-dir build --output-on-failure -j 4
