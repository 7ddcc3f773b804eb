#include <algorithm>
#include <utility>

#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Engines of the same region respond within a few ms. If a report takes longer
// or is lost, the picker uses its own estimate of the load.
constexpr Duration kProbeTimeout{40};

}  // namespace

PickRequest Exchange::MakePickRequest() const {
  PickRequest pick;
  pick.service = service_;
  pick.chunks = request_.prompt_chunks;
  pick.prompt_tokens = request_.prompt_tokens.value_or(0);
  pick.output_tokens = request_.max_output_tokens;
  pick.exclude = tried_upstreams_;
  return pick;
}

void Exchange::TryNextUpstream() {
  if (!CanVerifyKey()) {
    return Refuse(ResultCode::kNotReady, "Keys cannot be checked now",
                  OutcomeSoFar(), RetryDelay());
  }
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  const auto engines =
      context_->settings.strategies.ask_engines
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
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  const auto upstream = context_->picker.Pick(MakePickRequest(), now);
  if (!upstream) {
    return Refuse(ResultCode::kNoUpstream, "", OutcomeSoFar(), RetryDelay());
  }
  expected_wait_ = context_->picker.ExpectedWait(upstream->id, now);
  // A request that may have started to run is not rejected.
  const bool refused = context_->settings.strategies.refuse_by_wait &&
                       !may_have_run_ && !answer_started_ &&
                       IsSlotWaitTooLong(*admission_.route, expected_wait_);
  if (!refused) return Send(*upstream);
  Refuse(
      ResultCode::kOverloaded, "All engines are busy", RequestOutcome::kNotRun,
      std::max(RetryDelay(), JitteredRetryDelay(expected_wait_, request_.id)));
}

RequestOutcome Exchange::OutcomeSoFar() const {
  return may_have_run_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
}

}  // namespace firmoor::details
