#!/usr/bin/env bash
# Runs clang-tidy over all sources of build/'s compile commands, or over the
# sources given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy -p build --quiet 2> /dev/null
echo "lint: ${#files[@]} files clean"
