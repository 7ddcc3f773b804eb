#include "serving/recurring_fault.h"

#include <algorithm>

namespace firmoor {

Duration RecurringFault::TimeToEnd() const {
  if (seen_.size() < 2) return kMinTime;
  const auto gaps = static_cast<Duration::rep>(seen_.size() - 1);
  const auto span =
      std::chrono::duration_cast<Duration>(seen_.back() - seen_.front());
  return std::clamp(span / gaps * kMeanGaps, kMinTime, kMaxTime);
}

void RecurringFault::OnSeen(TimePoint at) {
  if (!seen_.empty() && at - seen_.back() < kSameTime) {
    seen_.back() = std::max(seen_.back(), at);
    return;
  }
  if (!MayGoOn(at)) seen_.clear();
  seen_.push_back(at);
  if (seen_.size() > kMaxTimes) seen_.pop_front();
}

bool RecurringFault::MayGoOn(TimePoint now) const {
  return !seen_.empty() && now - seen_.back() < TimeToEnd();
}

}  // namespace firmoor
