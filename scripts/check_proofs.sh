#!/usr/bin/env bash
# Shows that the proofs can fail: breaks one mechanism after the other in a
# copy of the tree and expects the named test to fail. Not part of CI, since
# each line builds again. Usage: scripts/check_proofs.sh [NUMBER...]
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja >/dev/null

# number @ what is broken @ file @ sed expression @ test @ filter
mutations=(
"1@a non-idempotent request is retried after it may have run@libs/serving/src/attempt_policy.cc@s/const bool safe = .*/const bool safe = true;/@at_most_once_test@*may have run*"
"2@the claim is granted without the store@libs/serving/src/details/job.cc@s/if (spec_.claim \&\& !claim_held_) return RequestClaim();//@at_most_once_test@*same key*"
"3@an unknown outcome is called not run@libs/serving/src/attempt_policy.cc@s/if (!end.may_have_been_sent || end.declared_not_run) {/if (true) {/@serving_test@any attempt*"
"4@a lost claim update is not looked up by its attempt@libs/serving/src/claim_slot.cc@s/const bool own = held.attempt == wanted.attempt;/const bool own = false;/@at_most_once_test@*store misbehaves*"
"5@a stream counts as whole without its end marker@libs/serving/src/details/job_attempt.cc@s/attempt_.stream_complete = false;/attempt_.stream_complete = true;/@upstream_test@*loses its upstream*"
"6@the leaving mark goes back with the list@libs/serving/src/router.cc@s/if (found != replicas_.end()) found->second.leaving = true;/(void)found;/@upstream_test@*is leaving*"
"7@requests are not handed over@apps/firmoord/src/drain.cc@s/if (peers.empty()) return;/return;/@graceful_test@*accepted work*"
"8@the listener closes before readiness fails@apps/firmoord/src/drain.cc@s/QTimer::singleShot(settings_.balancer_wait, /QTimer::singleShot(0, /@graceful_test@*rolling restart*"
"9@an older configuration is taken@libs/config/src/config_log.cc@s/if (configuration.version() <= current_.version()) return false;//@config_test@followers*"
"10@a patch is written without its base version checked@libs/config/src/config_log.cc@s/if (patch.base_version != head.Version()) {/if (false) {/@configuration_process_test@patches*"
"11@a daemon that stood still condemns others@libs/peer/src/membership.cc@s/  ExtendTimersAfterStall(now);//@peer_test@*was frozen*"
"12@a holder does not look at its lifetime@libs/placement/src/lease_elector.cc@s/return holder_ \&\& now - valid_from_ < timing_.lifetime;/return holder_ \&\& now > valid_from_;/@placement_test@*lease*"
"13@a new holder does not wait out the old one's orders@libs/placement/src/lease_elector.cc@s/return MayOrderFenced(now) \&\& waited;/return MayOrderFenced(now) || (waited \&\& false);/@placement_test@*lease*"
"14@segments are not read before a claim is decided@libs/serving/src/claim_batcher.cc@s/if (claim != nullptr) return claim;/if (claim != nullptr \&\& claim->key.empty()) return claim;/@serving_test@*segment*"
"15@a daemon is ready before it knows an upstream@apps/firmoord/src/daemon.cc@s/has_seen_vms_ = has_seen_vms_ || .*/has_seen_vms_ = true;/@configuration_process_test@*no upstream yet*"
"16@deadlines are judged right after a freeze@libs/serving/src/details/freeze_guard.h@s/return !was_frozen;/return true || was_frozen;/@serving_test@*was frozen*"
"17@a refusal does not ask how the key stands@libs/serving/src/details/job.cc@s/if (!spec_.claim || claim_held_) {/if (spec_.number > 0) {/@not_run_test@*"
"18@a home releases the claim of another daemon@libs/serving/src/claim_batcher.cc@s/if (pending.origin == ClaimOrigin::kRemoteDaemon) continue;//@serving_test@random daemons*"
"19@a key is called is_free after a read alone@libs/serving/src/claim_batcher.cc@s/claims_in_write_.push_back(pending.id);/return AddDecision(pending, ClaimResult::kGranted, nullptr), true;/@serving_test@random daemons*"
"20@a zone's work is not handed over@apps/firmoord/src/drain.cc@s/if (peers.empty()) return;/return;/@zone_reclaim_test@*"
"21@a prompt does not wait for the replica that has its prefix@libs/serving/src/details/job_attempt.cc@s/if (WaitsForPrefix(.choice, now)) return;//@overload_test@*letter*"
)
failed=0
for row in "${mutations[@]}"; do
  IFS='@' read -r number what file expression test filter <<<"$row"
  if [ $# -gt 0 ] && [[ " $* " != *" $number "* ]]; then continue; fi
  cp "$copy/$file" "$copy/original"
  sed -i "$expression" "$copy/$file"
  if cmp -s "$copy/$file" "$copy/original"; then
    echo "$number. NOT BROKEN (the expression no longer fits): $what"
    failed=1
    continue
  fi
  targets=("$test")
  [ -f "$copy/tests/process/$test.cc" ] &&
    targets+=(firmoord platform_standin engine_standin plain_standin relay_standin)
  if ! cmake --build "$copy/build" --target "${targets[@]}" >"$copy/log" 2>&1; then
    echo "$number. DOES NOT BUILD: $what"
    grep -m 3 'error:' "$copy/log" || true
    failed=1
  else
    binary=$(find "$copy/build" -type f -name "$test" -perm -u+x | head -1)
    if RC_PARAMS="seed=20261203 max_success=400" timeout 200 "$binary" -tc="$filter" >"$copy/log" 2>&1; then
      echo "$number. STILL PASSES: $what ($test)"
      failed=1
    else
      echo "$number. fails as it should: $what ($test)"
    fi
  fi
  cp "$copy/original" "$copy/$file"
  touch "$copy/$file"
done
exit $failed
