#!/usr/bin/env bash
# Starts the stand-ins and two daemons in two availability zones on loopback,
# drives them as callers and operators would, and stops everything gracefully.
# Ends non-zero when a step's answer is wrong; the last line counts the steps.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
work=$(mktemp -d)
pids=()
steps=0
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

run() { "$@" 2>>"$work/log" & pids+=($!); }
fail() { echo "FAILED: $1" >&2; tail -20 "$work/log" >&2; exit 1; }
step() { steps=$((steps + 1)); echo "$steps. $1"; }
expect() { # expect TEXT ACTUAL STEP
  [[ "$2" == *"$1"* ]] || fail "$3: expected '$1', got '$2'"
  step "$3"
}
until_ok() { # until_ok URL
  for _ in $(seq 100); do
    curl -sf "$1" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "$1 did not become ready"
}

bin=build/tests
run $bin/platform_standin --listen 127.0.0.1:19000
run $bin/engine_standin --listen 127.0.0.1:19101
run $bin/engine_standin --listen 127.0.0.1:19102
run $bin/plain_standin --listen 127.0.0.1:19201
run $bin/plain_standin --listen 127.0.0.1:19202

daemon() { # daemon NAME ZONE PORT SEED
  cat >"$work/$1.toml" <<T
daemon = "$1"
availability_zone = "$2"
region = "ulaanbaatar"
[listen]
callers = "127.0.0.1:$3"
observe = "127.0.0.1:$(($3 + 1))"
operators = "127.0.0.1:$(($3 + 2))"
peers = "127.0.0.1:$(($3 + 3))"
[platform]
object_api = "127.0.0.1:19000"
vm_list = "127.0.0.1:19000"
seeds = ["127.0.0.1:$4"]
[security]
allow_anonymous = true
peer_token = "demo"
[times]
drain_ms = 5000
balancer_wait_ms = 100
T
  run build/apps/firmoord/firmoord --settings "$work/$1.toml" --fatal-invariants
}
daemon ub-east-1 ub-east 18080 18183
daemon ub-west-1 ub-west 18180 18083
until_ok http://127.0.0.1:18081/live
until_ok http://127.0.0.1:18181/live
step "two daemons are up"

vm() { echo "{\"id\":\"$1\",\"service\":\"$2\",\"availability_zone\":\"$3\",\"region\":\"ulaanbaatar\",\"endpoint\":\"127.0.0.1:$4\",\"reclaimable\":true}"; }
curl -sf -X POST http://127.0.0.1:19000/control -d "{\"vms\":[
  $(vm e1 groom-assist ub-east 19101),$(vm e2 groom-assist ub-west 19102),
  $(vm p1 booking-desk ub-east 19201),$(vm p2 booking-desk ub-west 19202)]}" >/dev/null
until_ok http://127.0.0.1:18081/ready
until_ok http://127.0.0.1:18181/ready

ctl=build/apps/firmoorctl/firmoorctl
east="--daemon 127.0.0.1:18082"
both="$east --daemon 127.0.0.1:18182"
expect "good patch" "$($ctl validate $east examples/tsagaan-sam.json)" "a patch is validated"
expect "version 1" "$($ctl patch $east examples/tsagaan-sam.json)" "a patch is in force"
expect "5001" "$($ctl patch $east --base-version 0 examples/tsagaan-sam.json 2>&1 || true)" "a stale patch is refused"
for _ in $(seq 50); do
  curl -s http://127.0.0.1:18181/metrics | grep -q 'config_version 1' && break
  sleep 0.1
done
expect "config_version 1" "$(curl -s http://127.0.0.1:18181/metrics)" "the other zone follows"
sleep 1.5

auth="Authorization: Bearer salon-zaisan-token"
stream=$(curl -sN http://127.0.0.1:18080/v1/completions -H "$auth" \
  -d '{"model":"groom-assist","prompt":"Coat care history of Bankhar","max_tokens":12,"stream":true}')
expect "[DONE]" "$stream" "a completion is streamed"
[ "$(grep -c '^id: ' <<<"$stream")" -eq 12 ] || fail "the stream has 12 tokens"
expect '"chat.completion"' "$(curl -s http://127.0.0.1:18180/v1/chat/completions -H "$auth" \
  -d '{"model":"groom-assist","messages":[{"role":"user","content":"Is it shedding?"}],"max_tokens":5}')" "a chat answer comes whole"

book() { curl -s "http://127.0.0.1:$1/services/booking-desk/bookings" -H "$auth" -H 'Idempotency-Key: k1' -H 'Work-Id: w1' -d 'saturday'; }
first=$(book 18080)
expect "run 1 of w1" "$first" "a booking is made"
expect "$first" "$(book 18180)" "its repeat in the other zone gets the same answer"
expect '"code":1006' "$(curl -s http://127.0.0.1:18080/services/booking-desk/bookings -H "$auth" -H 'Idempotency-Key: k1' -d 'sunday')" "a reused key is refused"
expect '"code":1002' "$(curl -s http://127.0.0.1:18080/services/booking-desk/schedule)" "a stranger is refused"

answer=$(curl -si http://127.0.0.1:18080/v1/completions -H "$auth" -H 'Prefer: respond-async' \
  -d '{"model":"groom-assist","prompt":"Letter","max_tokens":20}')
location=$(grep -i '^location:' <<<"$answer" | tr -d '\r' | cut -d' ' -f2)
sleep 1
expect '"text_completion"' "$(curl -s "http://127.0.0.1:18180$location" -H "$auth")" "an asynchronous answer is fetched in the other zone"

expect "ready" "$($ctl status $both)" "status"
expect "booking-desk" "$($ctl report $both --vm-cost-per-hour 10 --html "$work/burn.html")" "burn report"
grep -q '<svg' "$work/burn.html" || fail "the burn page has bars"
for pid in "${pids[@]: -2}"; do kill -TERM "$pid"; done
for pid in "${pids[@]: -2}"; do wait "$pid" || fail "a daemon did not stop in good order"; done
step "both daemons stopped gracefully"
echo "demo: $steps steps passed"
