#!/usr/bin/env bash
# Installs what the build needs and builds everything: Meta/build.sh [folder]
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$top/build}

"$top/Meta/install-dependencies.sh"
cmake -G Ninja -S "$top" -B "$build" >/dev/null
cmake --build "$build"
