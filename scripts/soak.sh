#!/usr/bin/env bash
# Runs processes and load under random faults; ends non-zero when a promise
# was broken. Usage: scripts/soak.sh --seed N --minutes M
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh >/dev/null
exec build/tests/firmoor_soak "$@"
