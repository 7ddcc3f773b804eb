#!/usr/bin/env bash
# Installs what is needed and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${FIRMOOR_JOBS:-$(nproc)}"
