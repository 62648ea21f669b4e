#!/usr/bin/env bash
# Installs the libraries and tools that a build and its checks need (Debian).
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  libcpprest-dev libnghttp2-dev libboost-dev libcxxopts-dev libspdlog-dev
  libcpputest-dev liburcu-dev nlohmann-json3-dev libprotobuf-dev
  libxxhash-dev libsodium-dev librapidcheck-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
  exit 0
fi

run=()
if ((EUID != 0)); then
  run=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${run[@]}" apt-get update -qq
"${run[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
