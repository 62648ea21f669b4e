#!/usr/bin/env bash
# Builds the programs that the cases 4 to 8 start, into target/review-2.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
out=$top/target/review-2
mkdir -p "$out"
for source in "$top"/review/[4-8]/Main.cpp; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I "$top/review/stand-ins-2" \
    "$source" -o "$out/case-$case"
done
