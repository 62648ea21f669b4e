#!/usr/bin/env bash
# Installs, builds and runs every test through ctest: Meta/test.sh [folder]
# Tests listed in KNOWN-RED.txt (first word of a line) have no part in the
# verdict: they run after it, and how each of them ended is printed. A line that
# names no test fails. The list is empty when the file is absent.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}

"$top/Meta/build.sh" "$build"

known_red=()
if [[ -s $top/KNOWN-RED.txt ]]; then
  echo "Known red, not part of the verdict:"
  cat "$top/KNOWN-RED.txt"
  mapfile -t known_red < <(
    sed -n 's/^\([A-Za-z0-9_.-]*\).*/\1/p' "$top/KNOWN-RED.txt" | sort -u)
fi

arguments=(--test-dir "$build" --no-tests=error)
if ((${#known_red[@]} == 0)); then
  exec ctest "${arguments[@]}" --output-on-failure -j 6
fi

listed="^($(IFS='|' && echo "${known_red[*]//./\\.}"))$"
found=$(ctest "${arguments[@]}" -N -R "$listed" |
  sed -n 's/^Total Tests: //p')
if ((found != ${#known_red[@]})); then
  echo "KNOWN-RED.txt lists ${#known_red[@]} tests, of which $found exist" >&2
  exit 1
fi

status=0
ctest "${arguments[@]}" --output-on-failure -j 6 -E "$listed" || status=$?
echo "Known red, each as it ended now:"
# Without ctest's sums, which are not the verdict.
ctest "${arguments[@]}" -R "$listed" -j 2 |
  grep -E '^ *[0-9]+/[0-9]+ Test +#' || true
exit "$status"
