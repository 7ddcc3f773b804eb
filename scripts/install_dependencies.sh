#!/usr/bin/env bash
# Installs every build and test dependency from Debian's package manager.
# Safe to run again: it returns at once when all packages are present.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format clang-tidy curl
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libnghttp2-dev libboost1.81-dev
  libfmt-dev doctest-dev libcli11-dev libtomlplusplus-dev
  librapidcheck-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -q >&2
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >&2
