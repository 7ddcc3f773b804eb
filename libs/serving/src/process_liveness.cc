#include "serving/process_liveness.h"

#include <algorithm>

namespace firmoor {
namespace {

// A close at a random moment falls into this part of the mean time between
// events with at most the same probability, whatever their distribution is.
constexpr int kFractionOfGap = 20;
constexpr std::size_t kMinEvents = 3;

}  // namespace

std::string_view NameOf(CloseOrigin origin) {
  constexpr std::string_view kNames[] = {"undecided",    "not-asked", "process",
                                         "behind-event", "either",    "unclear",
                                         "exit"};
  return kNames[static_cast<int>(origin)];
}

bool IsDecided(CloseOrigin origin) {
  return origin != CloseOrigin::kUndecided && origin != CloseOrigin::kNotAsked;
}

void EventRhythm::OnEvent(PreciseTimePoint now) {
  if (events_++ == 0) first_at_ = now;
  last_at_ = now;
}

std::optional<PreciseDuration> EventRhythm::MeanGap() const {
  if (events_ < 2) return std::nullopt;
  return (last_at_ - first_at_) / static_cast<int>(events_ - 1);
}

PreciseDuration EventRhythm::SilenceAt(PreciseTimePoint now) const {
  return events_ == 0 ? PreciseDuration(0) : now - last_at_;
}

bool EventRhythm::IsRightBehindEvent(PreciseTimePoint now) const {
  if (events_ < kMinEvents) return false;
  const auto gap = *MeanGap();
  if (resumed_at_ && now - *resumed_at_ < gap) return false;
  return SilenceAt(now) <= gap / kFractionOfGap;
}

ProcessLiveness::ConnectionId ProcessLiveness::Open() {
  open_[++last_id_] = std::nullopt;
  return last_id_;
}

void ProcessLiveness::OnEvent(ConnectionId connection, PreciseTimePoint now) {
  const auto found = open_.find(connection);
  if (found == open_.end()) return;
  auto& event_at = found->second;
  const bool is_shown = event_at && now - *event_at >= kExitSpan;
  if (is_shown) ran_at_ = std::max(ran_at_.value_or(*event_at), *event_at);
  if (is_shown || !event_at) event_at = now;
}

void ProcessLiveness::OnPaused(ConnectionId connection) {
  const auto found = open_.find(connection);
  if (found != open_.end()) found->second = std::nullopt;
}

void ProcessLiveness::OnClosed(ConnectionId connection, bool is_behind_event,
                               PreciseTimePoint now) {
  if (open_.erase(connection) == 0) return;
  std::erase_if(closes_, [now](const auto& item) {
    return now - item.second.at > kMemory;
  });
  closes_[connection] = {now, is_behind_event};
}

void ProcessLiveness::Forget(ConnectionId connection) {
  open_.erase(connection);
}

void ProcessLiveness::OnAnswer(PreciseTimePoint asked_at) {
  answered_at_ = std::max(answered_at_.value_or(asked_at), asked_at);
}

void ProcessLiveness::OnNoAnswer(PreciseTimePoint asked_at) {
  unanswered_at_ = std::max(unanswered_at_.value_or(asked_at), asked_at);
}

void ProcessLiveness::OnReserveClosed(PreciseTimePoint now) {
  reserve_closed_at_ = now;
}

bool ProcessLiveness::RanOn(PreciseTimePoint at, PreciseTimePoint now) const {
  const auto shows = [at](const std::optional<PreciseTimePoint>& ran_at) {
    return ran_at && *ran_at - at >= kExitSpan;
  };
  if (shows(ran_at_) || shows(reserve_closed_at_)) return true;
  return std::any_of(open_.begin(), open_.end(), [&](const auto& item) {
    return shows(item.second) && now - *item.second >= kExitSpan;
  });
}

bool ProcessLiveness::EndedWithOthers(const Close& close) const {
  return std::any_of(closes_.begin(), closes_.end(), [&](const auto& item) {
    const auto& other = item.second;
    const auto apart =
        other.at < close.at ? close.at - other.at : other.at - close.at;
    return &other != &close && apart < kSameExit &&
           !(close.is_behind_event && other.is_behind_event);
  });
}

bool ProcessLiveness::EndedWithReserve(const Close& close) const {
  return reserve_closed_at_ && close.at - *reserve_closed_at_ < kSameExit &&
         *reserve_closed_at_ - close.at < kReserveLag;
}

bool ProcessLiveness::IsOutlivedByReserve(const Close& close) const {
  return reserve_closed_at_ && *reserve_closed_at_ - close.at >= kReserveLag;
}

CloseOrigin ProcessLiveness::Judge(ConnectionId connection,
                                   PreciseTimePoint now) const {
  const auto found = closes_.find(connection);
  if (found == closes_.end()) return CloseOrigin::kUnclear;
  const auto& close = found->second;
  const bool has_answered = answered_at_ && *answered_at_ >= close.at;
  if (has_answered || RanOn(close.at, now)) return CloseOrigin::kProcess;
  const bool may_be_shown = !open_.empty() && now - close.at < kMaxWait;
  if (may_be_shown) return CloseOrigin::kUndecided;
  const bool was_asked = unanswered_at_ && *unanswered_at_ >= close.at;
  if (!was_asked) return CloseOrigin::kNotAsked;
  if (EndedWithOthers(close)) return CloseOrigin::kExit;
  if (close.is_behind_event) {
    return IsOutlivedByReserve(close) ? CloseOrigin::kBehindEvent
                                      : CloseOrigin::kEitherOne;
  }
  return EndedWithReserve(close) ? CloseOrigin::kExit : CloseOrigin::kUnclear;
}

}  // namespace firmoor
