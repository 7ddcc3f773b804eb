#include <algorithm>
#include <utility>

#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Engines of the own region answer within a few ms; one whose report takes
// longer, or is lost, is judged by what is known.
constexpr Duration kReportPatience{40};

}  // namespace

PickRequest Exchange::MakePickRequest() const {
  PickRequest pick;
  pick.service = service_;
  pick.chunks = request_.prompt_chunks;
  pick.prompt_tokens = request_.prompt_tokens.value_or(0);
  pick.output_tokens = request_.max_output_tokens;
  pick.exclude = tried_;
  return pick;
}

void Exchange::TryNext() {
  if (!MayBelieveKey()) {
    return Refuse(ResultCode::kNotReady, "Keys cannot be checked now",
                  OutcomeSoFar(), PauseBeforeReturn());
  }
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  const auto engines =
      context_->settings.strategies.ask_engines
          ? context_->picker.EnginesToProbe(MakePickRequest(),
                                            context_->shared.daemons, now)
          : std::vector<UpstreamEntry>{};
  if (engines.empty()) return SendToBest();
  asked_ += engines.size();
  reports_awaited_ = engines.size();
  for (const auto& engine : engines) {
    context_->AskReport(engine, kReportPatience,
                        [weak = weak_from_this()](const EngineReport&) {
                          if (const auto self = weak.lock()) self->OnReport();
                        });
  }
}

void Exchange::OnReport() {
  if (finished_ || --reports_awaited_ > 0) return;
  SendToBest();
}

void Exchange::SendToBest() {
  const auto now = MonotonicNow();
  context_->SyncPicker(now);
  const auto upstream = context_->picker.Pick(MakePickRequest(), now);
  if (!upstream) {
    return Refuse(ResultCode::kNoUpstream, "", OutcomeSoFar(),
                  PauseBeforeReturn());
  }
  expected_wait_ = context_->picker.ExpectedWait(upstream->id, now);
  // What has begun to run is worth its wait.
  const bool refused = context_->settings.strategies.refuse_by_wait &&
                       !may_have_run_ && !answer_started_ &&
                       IsSlotWaitTooLong(*pass_.route, expected_wait_);
  if (!refused) return Send(*upstream);
  Refuse(ResultCode::kOverloaded, "All engines are busy",
         RequestOutcome::kNotRun,
         std::max(PauseBeforeReturn(),
                  JitteredRetryDelay(expected_wait_, request_.id)));
}

RequestOutcome Exchange::OutcomeSoFar() const {
  return may_have_run_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
}

}  // namespace firmoor::details
