#!/usr/bin/env bash
# Fails when a header, path or field name of the users' platform occurs in
# sources outside platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
words='X-Replica-Seal|X-Expect-Replica|X-Prompt-Prefix|X-Token-Count'
words+='|X-Duty-Holder|X-Fence-Token|X-Not-Run|X-Deadline-Ms|X-Request-Id'
words+='|X-Request-Priority|X-Tenant|Api-Key|Kv-From|Kv-Fetch|X-Kv-Backup'
words+='|Server-Leaving|Server-Limit|Store-Era|Server-Brittle'
words+='|/kv-move|/kv-events|/hold-take|/usage"|/scale"'
words+='|FIRMOOR_SETTINGS|store_revision|desired_count|window_id|path_prefix"'
words+='|max_attempts"|goal_ms|"gap_target_ms|cold_left_ms|leaves_ms|api_keys'
found=$(git grep -nE "$words" -- '*.cc' '*.h' '*CMakeLists.txt' \
  ':!platform' ':!deploy' || true)
if [ -n "$found" ]; then
  echo "Names of the platform outside platform/ and deploy/:" >&2
  echo "$found" >&2
  exit 1
fi
