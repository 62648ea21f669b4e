#!/usr/bin/env bash
# Checks the formatting of all sources; with --fix, mends it.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run --Werror)
if [[ ${1:-} == --fix ]]; then
  mode=(-i)
fi
git ls-files '*.cpp' '*.h' ':!*.pb.h' | xargs -r -P 8 -n 20 clang-format "${mode[@]}"
