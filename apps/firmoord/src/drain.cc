#include "drain.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("drain");
constexpr int kStepMs = 50;
// Part of the drain time that is kept for handing over.
constexpr int kHandOverShare = 3;
constexpr Duration kLeastHandOverTime{1'000};
constexpr Duration kHurriedTime{2'000};
constexpr Duration kOfferTimeout{1'000};
constexpr int kLeaveMs = 100;

}  // namespace

Drain::Drain(const Settings& settings, Parts parts,
             std::function<void()> on_finished)
    : settings_(settings), parts_(parts), on_finished_(std::move(on_finished)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Step(); });
}

void Drain::Start() {
  const auto now = MonotonicNow();
  if (started_) {
    if (hurried_) return;
    kLog.Warn("Told to stop again. Handing over at once.");
    hurried_ = true;
    end_ = std::min(end_, now + kHurriedTime);
    hand_over_at_ = now;
    if (!closed_) CloseListener();
    return;
  }
  started_ = true;
  end_ = now + settings_.drain_time;
  hand_over_at_ = end_ - std::max(settings_.drain_time / kHandOverShare,
                                  kLeastHandOverTime);
  kLog.Info("Stopping. {} requests are in work.",
            parts_.dispatcher->ActiveRequestCount());
  parts_.callers->CloseAfterResponses();
  QTimer::singleShot(settings_.balancer_wait, &timer_, [this] {
    if (!closed_) CloseListener();
  });
}

void Drain::CloseListener() {
  closed_ = true;
  parts_.callers->StopListening();
  parts_.dispatcher->StartDrain();
  timer_.start(kStepMs);
  Step();
}

void Drain::Step() {
  if (finished_) return;
  const auto now = MonotonicNow();
  if (offers_ == 0) HandOver(now >= hand_over_at_);
  const bool idle = offers_ == 0 &&
                    parts_.dispatcher->ActiveRequestCount() == 0 &&
                    parts_.claims->UnrecordedOutcomes() == 0 &&
                    parts_.callers->ConnectionCount() == 0;
  if (idle || now >= end_) Finish();
}

void Drain::HandOver(bool with_callers) {
  const auto peers = parts_.fleet->membership().Live();
  if (peers.empty()) return;
  for (auto& record : parts_.dispatcher->DetachForHandover(with_callers)) {
    auto candidates = parts_.fleet->NearestFor(record.id);
    ++offers_;
    Offer(std::make_shared<const RequestRecord>(std::move(record)),
          std::move(candidates));
  }
}

void Drain::Offer(const std::shared_ptr<const RequestRecord>& record,
                  std::vector<Member> candidates) {
  using End = Dispatcher::HandoverResult;
  if (candidates.empty()) {
    --offers_;
    return parts_.dispatcher->FinishHandover(record->id, End::kRefused);
  }
  const Member heir = candidates.front();
  candidates.erase(candidates.begin());
  parts_.fleet->Call(
      heir, "handover", record->Encode(), kOfferTimeout,
      [this, record, candidates, heir](PeerStatus status,
                                       const QByteArray& body) {
        if (finished_) return;
        if (status == PeerStatus::kOk && body == "taken") {
          --offers_;
          kLog.Info("Request {} goes on at {}.", record->id, heir.name);
          return parts_.dispatcher->FinishHandover(record->id, End::kAdopted);
        }
        if (status == PeerStatus::kNoResponse) {
          --offers_;
          return parts_.dispatcher->FinishHandover(record->id,
                                                   End::kUnconfirmed);
        }
        Offer(record, candidates);
      });
}

void Drain::Finish() {
  finished_ = true;
  timer_.stop();
  kLog.Info("Stopped with {} requests left.",
            parts_.dispatcher->ActiveRequestCount());
  parts_.fleet->Leave();
  QTimer::singleShot(kLeaveMs, &timer_, [this] { on_finished_(); });
}

}  // namespace firmoor
