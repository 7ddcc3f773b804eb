#include "drain.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "drain_step.h"

namespace firmoor {
namespace {

constexpr Logger kLog("drain");
constexpr int kPollIntervalMs = 50;
// Requests whose callers still wait are handed over in the last third of the
// drain time.
constexpr int kHandoverTimeDivisor = 3;
constexpr Duration kMinHandoverTime{1'000};
constexpr Duration kImmediateDrainTime{2'000};
constexpr Duration kOfferTimeout{1'000};
constexpr Duration kLeaveDelay{100};
// For callers to read the answers to requests that end with the daemon, and for
// outcomes to be recorded; short, since the VM may be taken away.
constexpr Duration kLastAnswerTime{500};
// Requests end this long before the process must end.
constexpr Duration kEndTime = kLastAnswerTime + kLeaveDelay;

}  // namespace

Drain::Drain(const Settings& settings, Parts parts,
             std::function<void()> on_finished)
    : settings_(settings), parts_(parts), on_finished_(std::move(on_finished)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Poll(); });
}

void Drain::Start() {
  const auto now = MonotonicNow();
  if (has_started_) {
    if (is_immediate_) return;
    kLog.Warn("Second stop request; handing over the remaining requests now.");
    is_immediate_ = true;
    deadline_ = std::min(deadline_, now + kImmediateDrainTime - kEndTime);
    handover_start_ = now;
    if (!is_listener_closed_) CloseListener();
    return;
  }
  has_started_ = true;
  deadline_ = now + settings_.drain_time - kEndTime;
  handover_start_ =
      deadline_ -
      std::max(settings_.drain_time / kHandoverTimeDivisor, kMinHandoverTime);
  kLog.Info("Draining; {} requests are active.",
            parts_.dispatcher->ActiveRequestCount());
  parts_.callers->CloseAfterResponses();
  QTimer::singleShot(settings_.balancer_wait, &timer_, [this] {
    if (!is_listener_closed_) CloseListener();
  });
}

void Drain::CloseListener() {
  is_listener_closed_ = true;
  listener_closed_at_ = MonotonicNow();
  parts_.callers->StopAccepting();
  parts_.dispatcher->StartDrain();
  timer_.start(kPollIntervalMs);
  Poll();
}

void Drain::Poll() {
  if (has_finished_) return WaitForAnswers();
  const auto now = MonotonicNow();
  const bool hands_over = now >= handover_start_;
  if (hands_over) parts_.dispatcher->RefuseRequests();
  if (pending_offers_ == 0) StartHandovers(hands_over);
  const bool has_work = pending_offers_ > 0 ||
                        parts_.dispatcher->ActiveRequestCount() > 0 ||
                        parts_.claims->UnrecordedOutcomes() > 0;
  switch (NextDrainStep({now - listener_closed_at_, deadline_ - now, has_work,
                         parts_.callers->ConnectionCount()})) {
    case DrainStep::kServe:
      return;
    case DrainStep::kCloseIdle:
      return parts_.callers->StopListening();
    case DrainStep::kFinish:
      return Finish();
  }
}

void Drain::StartHandovers(bool include_attached) {
  const auto peers = parts_.fleet->membership().Live();
  if (peers.empty()) return;
  for (auto& record : parts_.dispatcher->DetachForHandover(include_attached)) {
    auto candidates = parts_.fleet->LiveMembersByDistance(record.id);
    ++pending_offers_;
    OfferToNext(std::make_shared<const RequestRecord>(std::move(record)),
                std::move(candidates));
  }
}

void Drain::OfferToNext(const std::shared_ptr<const RequestRecord>& record,
                        std::vector<Member> candidates) {
  using HandoverResult = Dispatcher::HandoverResult;
  if (candidates.empty()) {
    --pending_offers_;
    return parts_.dispatcher->FinishHandover(record->id,
                                             HandoverResult::kRefused);
  }
  const Member peer = candidates.front();
  candidates.erase(candidates.begin());
  parts_.fleet->Call(peer, "handover", record->Encode(), kOfferTimeout,
                     [this, record, candidates, peer](PeerStatus status,
                                                      const QByteArray& body) {
                       if (has_finished_) return;
                       if (status == PeerStatus::kOk && body == "taken") {
                         --pending_offers_;
                         kLog.Info("Request {} goes on at {}.", record->id,
                                   peer.name);
                         return parts_.dispatcher->FinishHandover(
                             record->id, HandoverResult::kAdopted);
                       }
                       if (status == PeerStatus::kNoResponse) {
                         --pending_offers_;
                         return parts_.dispatcher->FinishHandover(
                             record->id, HandoverResult::kUnconfirmed);
                       }
                       OfferToNext(record, candidates);
                     });
}

void Drain::Finish() {
  has_finished_ = true;
  kLog.Info("Drain finished; {} requests are still active.",
            parts_.dispatcher->ActiveRequestCount());
  answers_due_ = MonotonicNow() + kLastAnswerTime;
  parts_.dispatcher->RefuseRequests();
  parts_.dispatcher->EndRequests();
  // Reads idle connections once more, and answers what has arrived.
  parts_.callers->StopListening();
  WaitForAnswers();
}

void Drain::WaitForAnswers() {
  const bool done = parts_.claims->UnrecordedOutcomes() == 0 &&
                    parts_.callers->ConnectionCount() == 0;
  if (!done && MonotonicNow() < answers_due_) return;
  timer_.stop();
  parts_.fleet->Leave();
  QTimer::singleShot(kLeaveDelay, &timer_, [this] { on_finished_(); });
}

}  // namespace firmoor
