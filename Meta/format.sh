#!/usr/bin/env bash
# Formats all sources; with --check, only lists those that aren't formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run --Werror)
fi
git ls-files -z --cached --others --exclude-standard '*.h' '*.cc' |
  xargs -0 clang-format "${mode[@]}"
