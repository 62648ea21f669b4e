#!/usr/bin/env bash
# Installs, builds and runs every test through ctest: Meta/test.sh [folder]
# Tests listed in KNOWN-RED.txt (first word of a line) are left out of the
# verdict and printed; the list is empty when the file is absent.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}

"$top/Meta/build.sh" "$build"

known_red=""
if [[ -s $top/KNOWN-RED.txt ]]; then
  echo "Known red, not part of the verdict:"
  cat "$top/KNOWN-RED.txt"
  known_red=$(sed -n 's/^\([A-Za-z0-9_.-]*\).*/\1/p' "$top/KNOWN-RED.txt" |
    paste -sd'|')
fi

arguments=(--test-dir "$build" --output-on-failure --no-tests=error -j 6)
if [[ -n $known_red ]]; then
  arguments+=(-E "^(${known_red})$")
fi
ctest "${arguments[@]}"
