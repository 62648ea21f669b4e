#!/usr/bin/env bash
# Writes docs/FAULT-MATRIX.md: Meta/fault-matrix.sh [build folder] [--last]
# Runs all tests through ctest first; with --last, takes the results of the run
# that the folder holds already. A failed test fails its cells, not the script.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=$top/build
run=yes
for argument in "$@"; do
  case $argument in
    --last) run=no ;;
    *) build=$argument ;;
  esac
done

if [[ $run == yes ]]; then
  cmake -G Ninja -S "$top" -B "$build" >/dev/null
  cmake --build "$build"
  ctest --test-dir "$build" -j "${FIGLIFT_TEST_JOBS:-4}" || true
fi
log=$build/Testing/Temporary/LastTest.log
page=$top/docs/FAULT-MATRIX.md
"$build/Tests/FaultMatrix/fault-matrix-page" <"$log" >"$page.new"
mv "$page.new" "$page"
grep -m 1 '^Held:' "$page"
