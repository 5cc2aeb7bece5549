#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy curl python3
  libboost-dev libboost-system-dev libboost-test-dev libboost-filesystem-dev libcapnp-dev capnproto prometheus-cpp-dev
  libspdlog-dev libcli11-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "install ok installed" ||
    missing+=("$package")
done
if ((${#missing[@]} == 0)); then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q "${missing[@]}"
