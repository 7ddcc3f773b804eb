#!/usr/bin/env bash
# Plays days without one mechanism after the other, and with all of them.
#   FLEETBENCH=.../fleetbench scripts/ablation.sh SITE [options of play_days.py]
# ABLATE names the mechanisms (default: all of [strategies]). Works on a clone,
# which is kept in ABLATION_COPY (default: a new temporary folder) with its
# journal entries.
set -euo pipefail
cd "$(dirname "$0")/.."
site=$(realpath "$1")
shift
header=libs/gateway/include/gateway/strategies.h
all=$(sed -n 's/^  bool \([a-z_]*\) = true;$/\1/p' "$header")
copy=${ABLATION_COPY:-$(mktemp -d)/firmoor}
[ -d "$copy" ] || git clone -q . "$copy"
play=$(realpath scripts/play_days.py)
cd "$copy"
for off in none ${ABLATE:-$all}; do
  git checkout -q -- platform/settings.toml.in
  if [ "$off" != none ]; then
    printf '\n[strategies]\n%s = false\n' "$off" >>platform/settings.toml.in
  fi
  echo "== without $off"
  "$play" "$site" "$@" --why "ablation: without $off"
done
git checkout -q -- platform/settings.toml.in
echo "journal entries: $copy/journal"
