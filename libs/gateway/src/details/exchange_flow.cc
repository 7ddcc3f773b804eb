#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {

void Exchange::UpdateFlow() {
  const auto step = flow_.Update(responder_->UnsentBytes(), MonotonicNow());
  // Also pauses an attempt that has begun meanwhile.
  if (flow_.is_paused()) attempts_.SetPaused(true);
  switch (step) {
    case CallerFlow::Step::kNone:
      return;
    case CallerFlow::Step::kPause:
      responder_->OnSent([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->finished_) self->UpdateFlow();
      });
      // The daemon that delegated the request knows whether its caller reads.
      if (!origin_) stall_timer_.start(CallerFlow::kMaxStall);
      return;
    case CallerFlow::Step::kResume:
      responder_->OnSent(nullptr);
      stall_timer_.stop();
      attempts_.SetPaused(false);
      return;
  }
}

void Exchange::OnStallTimer() {
  const auto self = shared_from_this();
  if (finished_ || !flow_.is_paused()) return;
  // What the kernel has taken since may not have been noticed yet.
  UpdateFlow();
  if (!flow_.is_paused()) return;
  const auto stalled = flow_.StalledFor(MonotonicNow());
  if (stalled < CallerFlow::kMaxStall) {
    return stall_timer_.start(CallerFlow::kMaxStall - stalled);
  }
  ++context_->caller_flows.stalled;
  context_->environment.log->Write(
      "caller-stalled",
      {{"request", Text(request_.id)},
       {"unsent_bytes", static_cast<qint64>(flow_.unsent_bytes())},
       {"stalled_ms", static_cast<qint64>(stalled.count())},
       {"events", static_cast<qint64>(events_)}});
  LogCut("daemon", "caller-stalled");
  Finish(ResultCode::kOk, "caller-stalled");
  responder_->Discard();
}

}  // namespace firmoor::details
