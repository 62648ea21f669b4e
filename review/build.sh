#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs only what the
# build of the deploy file needs: a compiler and the JSON library.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for case in */Case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" -o "$out/case-${case%%/*}"
done
