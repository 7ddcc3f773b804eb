#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests with ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
bash scripts/run_tests.sh
