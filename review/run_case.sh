#!/usr/bin/env bash
# run_case.sh FOLDER NAME: runs the case NAME and writes FOLDER/record.txt.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
set -u
folder=$1 name=$2
cd "$(dirname "$0")/.."
program=target/platform/bilberryentry
standins=target/review/bilberryreview
[ -x "$program" ] && [ -x "$standins" ] || {
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
}
scratch=$(mktemp -d) || exit 2
timeout 115 "$standins" "$name" "$PWD/$program" "$scratch" \
  "$folder/record.txt" "${TROUBLE:-1}"
code=$?
# The stand-ins end their hosts themselves; these would be left by a timeout.
for pid in "$scratch"/*.pid; do
  [ -e "$pid" ] && kill -9 "$(cat "$pid")" 2> /dev/null
done
rm -rf "$scratch"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
