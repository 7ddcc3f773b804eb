#!/usr/bin/env bash
# Runs processes and load under random faults; ends non-zero when a promise
# was broken. Usage: scripts/soak.sh --seed N --minutes M, with --daemon
# firmoord first for the product's own interface.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh >/dev/null
if [ "${1:-}" = "--daemon" ] && [ "${2:-}" = "firmoord" ]; then
  exec build/tests/firmoor_soak "${@:3}"
fi
exec build/platform/firmoor_gateway_soak "$@"
