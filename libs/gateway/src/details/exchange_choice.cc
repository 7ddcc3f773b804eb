#include <algorithm>
#include <utility>

#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Engines of the same region respond within a few ms. If a report takes longer
// or is lost, the picker uses its own estimate of the load.
constexpr Duration kProbeTimeout{40};

// Longest wait for a slot: about as long as a request runs.
constexpr Duration kMaxSlotWait{1'000};
// Part of the remaining time that a request may wait for a slot.
constexpr int kSlotWaitDivisor = 2;

// A request under which so many connections broke is not sent to a third
// upstream, whether or not anyone else suspects it.
constexpr int kMaxCrashedAttempts = 2;

}  // namespace

std::optional<std::string> Exchange::VersionToBegin() const {
  if (!admission_.route->is_resumable) return std::nullopt;
  const auto version = context_->stream_versions.VersionToBegin(service_);
  const bool is_usable =
      !version.empty() && context_->picker.HasVersion(service_, version);
  return is_usable ? std::optional(version) : std::nullopt;
}

PickRequest Exchange::MakePickRequest() const {
  PickRequest pick;
  pick.service = service_;
  pick.kind = admission_.route->name;
  pick.chunks = request_.prompt_chunks;
  pick.prompt_tokens = request_.prompt_tokens.value_or(0);
  pick.output_tokens = request_.max_output_tokens;
  pick.exclude = tried_.excluded();
  pick.version = version_ ? version_ : VersionToBegin();
  const auto& rollouts = context_->rollouts;
  if (!rollouts.IsActive()) return pick;
  const auto now = MonotonicNow();
  if (!version_) {
    pick.versions = rollouts.FilterFor(service_, to_target_, now);
  } else if (!rollouts.MaySend(service_, *version_, true, now)) {
    pick.versions.avoid = *version_;
  }
  return pick;
}

void Exchange::TryNextUpstream() {
  if (probes_pending_ > 0 || RejectQuarantined()) return;
  if (answer_started_ && IsVersionDoubtful()) {
    return RefuseFurtherAttempt(ResultCode::kStreamVersionUnknown, "",
                                std::nullopt);
  }
  if (!CanVerifyKey()) {
    return RefuseFurtherAttempt(ResultCode::kNotReady,
                                "Keys cannot be checked now", RetryDelay());
  }
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  if (LeaveToPeer(now)) return;
  to_target_ =
      context_->rollouts.ChoosesTarget(service_, race_.attempts() == 0, now);
  // An attempt beside a silent one is late already.
  const auto engines =
      context_->settings.strategies.ask_engines && race_.in_flight() == 0
          ? context_->picker.EnginesToProbe(MakePickRequest(),
                                            context_->shared.daemons, now)
          : std::vector<UpstreamEntry>{};
  if (engines.empty()) return SendToBestUpstream();
  probes_sent_ += engines.size();
  probes_pending_ = engines.size();
  for (const auto& engine : engines) {
    context_->ProbeEngine(engine, kProbeTimeout,
                          [weak = weak_from_this()](const EngineReport&) {
                            if (const auto self = weak.lock()) {
                              self->OnProbeResult();
                            }
                          });
  }
}

void Exchange::OnProbeResult() {
  if (finished_ || --probes_pending_ > 0) return;
  SendToBestUpstream();
}

void Exchange::SendToBestUpstream() {
  if (RejectQuarantined()) return;
  const bool has_recovered =
      race_.in_flight() > 0 && !race_.MayStartBeside(MakeConditions());
  if (has_recovered) return;
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  without_permit_.clear();
  auto upstream =
      context_->picker.Pick(MakePickRequest(), now, &without_permit_);
  if (!upstream && std::exchange(to_target_, false)) {
    without_permit_.clear();
    upstream = context_->picker.Pick(MakePickRequest(), now, &without_permit_);
  }
  if (!upstream && race_.in_flight() == 0 && tried_.ReadmitOvertaken()) {
    without_permit_.clear();
    upstream = context_->picker.Pick(MakePickRequest(), now, &without_permit_);
  }
  if (!upstream) {
    if (AwaitPermit(without_permit_, now)) return;
    if (without_permit_.empty() && LeaveLastToPeer(now)) return;
    return RefuseWithoutUpstream(!without_permit_.empty());
  }
  if (!without_permit_.empty()) ++context_->limit_counters.steered;
  expected_wait_ = context_->picker.ExpectedWait(upstream->id, now);
  // A request that may have started to run, or a stream that the caller has a
  // part of, is not rejected.
  const bool may_refuse = context_->settings.strategies.refuse_by_wait &&
                          OutcomeSoFar() == RequestOutcome::kNotRun &&
                          !answer_started_ && !version_;
  const auto retry_after =
      may_refuse ? RefusalForShortage(*upstream, now) : std::nullopt;
  if (!retry_after) return Send(*upstream);
  Refuse(ResultCode::kOverloaded, "All engines are busy",
         RequestOutcome::kNotRun, retry_after);
}

void Exchange::RefuseFurtherAttempt(ResultCode code, std::string message,
                                    std::optional<Duration> retry_after) {
  if (race_.in_flight() > 0) return;
  Refuse(code, std::move(message), OutcomeSoFar(), retry_after);
}

void Exchange::RefuseWithoutUpstream(bool rate_limited) {
  if (race_.in_flight() > 0) return;
  if (version_ && !context_->picker.HasVersion(service_, *version_)) {
    return Refuse(ResultCode::kStreamVersionGone, "", OutcomeSoFar(),
                  RetryDelay());
  }
  if (AwaitUnreached()) return;
  if (rate_limited && context_->permits.slots().IsBrittle(service_)) {
    ++context_->slot_counters.refused;
    return Refuse(ResultCode::kOverloaded, "All slots are taken",
                  OutcomeSoFar(), RetryDelay());
  }
  if (rate_limited) ++context_->limit_counters.rejected;
  Refuse(
      rate_limited ? ResultCode::kUpstreamRateLimit : ResultCode::kNoUpstream,
      "", OutcomeSoFar(), RetryDelay());
}

bool Exchange::AwaitUnreached() {
  const bool may_refuse =
      OutcomeSoFar() == RequestOutcome::kNotRun && !answer_started_;
  const auto& unreached = tried_.unreached();
  const bool is_listed =
      std::any_of(unreached.begin(), unreached.end(), [&](const auto& id) {
        const auto* entry = context_->catalog.Find(id);
        return entry != nullptr && !entry->leaving &&
               (!version_ || entry->software_version == *version_);
      });
  if (may_refuse || failed_answer_ || !is_listed) return false;
  const auto wait = tried_.WaitForUnreached(ends_at_ - MonotonicNow());
  if (!wait) return false;
  QTimer::singleShot(*wait, &timer_, [this] {
    const auto self = shared_from_this();
    if (!finished_) GoOn();
  });
  return true;
}

bool Exchange::AwaitPermit(const std::vector<UpstreamEntry>& upstreams,
                           TimePoint now) {
  if (race_.in_flight() > 0) return false;
  if (context_->permits.slots().IsBrittle(service_)) {
    return !upstreams.empty() && AwaitSlot(now);
  }
  if (permit_awaited_) return false;
  const auto obtainable =
      std::find_if(upstreams.begin(), upstreams.end(), [&](const auto& entry) {
        return context_->permits.MayObtain(entry.id, entry.born_ms, now);
      });
  if (obtainable == upstreams.end()) return false;
  permit_awaited_ = true;
  waiting_for_permit_ = true;
  context_->permits.RecordWaiting(obtainable->id, obtainable->born_ms);
  context_->grant_waiters.Add([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnPermitGrant();
  });
  QTimer::singleShot(kGrantTimeout, &timer_, [this] { OnPermitGrant(); });
  if (context_->on_grant_needed) context_->on_grant_needed();
  return true;
}

void Exchange::OnPermitGrant() {
  if (finished_) return;
  const auto self = shared_from_this();
  waiting_for_slot_ = false;
  if (std::exchange(waiting_for_permit_, false)) SendToBestUpstream();
}

bool Exchange::AwaitSlot(TimePoint now) {
  if (!slot_wait_ends_at_) {
    slot_wait_ends_at_ =
        now + std::min(kMaxSlotWait, (ends_at_ - now) / kSlotWaitDivisor);
  }
  if (now >= *slot_wait_ends_at_) return false;
  if (!context_->AddSlotWaiter(shared_from_this())) return false;
  waiting_for_permit_ = true;
  waiting_for_slot_ = true;
  const auto resume = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnPermitGrant();
  };
  context_->grant_waiters.Add(resume);
  QTimer::singleShot(*slot_wait_ends_at_ - now, &timer_, resume);
  if (context_->on_grant_needed) context_->on_grant_needed();
  return true;
}

bool Exchange::RejectQuarantined() {
  if (race_.in_flight() > 0) return context_->quarantine.HasVerdict(suspects_);
  if (context_->quarantine.Reject(request_.id, suspects_) == nullptr) {
    return false;
  }
  // Without a time to come back: the request would only be rejected again.
  Refuse(ResultCode::kQuarantined, "", OutcomeSoFar(), std::nullopt);
  return true;
}

bool Exchange::MayRunAgain() const {
  return crashed_attempts_ < kMaxCrashedAttempts &&
         !context_->quarantine.IsSuspected(suspects_);
}

}  // namespace firmoor::details
