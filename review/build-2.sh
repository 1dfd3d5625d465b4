#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs what the
# build of the deploy file needs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rm -f "$out"/*
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp)
objects=()
for name in net platform bookings; do
  g++ "${flags[@]}" -c "review/standins-2/$name.cc" -o "$out/$name.o" &
  objects+=("$out/$name.o")
done
wait
for source in review/standins-2/case*.cc; do
  g++ "${flags[@]}" "$source" "${objects[@]}" \
    -o "$out/$(basename "$source" .cc)" -ljsoncpp &
done
wait
for source in review/standins-2/case*.cc; do
  test -x "$out/$(basename "$source" .cc)"
done
echo "built the stand-ins of review 2"
