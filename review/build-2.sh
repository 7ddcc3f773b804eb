#!/usr/bin/env bash
# Builds the programs of the cases 6 and later into target/review-2. Needs the
# packages of deploy/system.toml only (g++ and the C++ library of them).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  case_folder=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$case_folder" \
    "$source" -pthread
done
