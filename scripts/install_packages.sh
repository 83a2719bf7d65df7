#!/usr/bin/env bash
# Installs the Debian packages that build and tests need; does nothing when all are installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build make ccache clang-format clang-tidy python3
    libpoco-dev libcereal-dev libboost-dev libcxxopts-dev libspdlog-dev libgtest-dev libgmock-dev
    libbenchmark-dev librapidcheck-dev libxxhash-dev nlohmann-json3-dev spin gcc
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
