#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/platform/bilberryentry target/review-2/case10; do
  [ -x "$program" ] || exit 2
done
exec target/review-2/case10 review/10
