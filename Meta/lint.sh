#!/usr/bin/env bash
# Runs clang-tidy over the project's sources: Meta/lint.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' \
  'platform/*.cpp' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "clang-tidy: clean"
