#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs
# nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread \
  -o target/review/bilberryreview review/standins/*.cc
