#!/usr/bin/env bash
# Installs missing build dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < Meta/packages.txt
if dpkg -s "${packages[@]}" > /dev/null 2>&1; then
  exit 0
fi
run=()
if [ "$(id -u)" -ne 0 ]; then
  run=(sudo)
fi
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${packages[@]}" > /dev/null
