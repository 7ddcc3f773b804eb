#include "limits/retry_schedule.h"

#include <algorithm>

namespace firmoor {
namespace {

// Few callers wait longer, and the limit may have changed by then.
constexpr Duration kMaxDelay{10'000};

}  // namespace

TimePoint RetrySchedule::Next(const std::string& service, TimePoint earliest,
                              double rate_per_s, TimePoint now) {
  auto& last = last_[service];
  const auto interval =
      rate_per_s > 0 ? std::min(DurationOfSeconds(1 / rate_per_s), kMaxDelay)
                     : kMaxDelay;
  const auto next = std::max(earliest, last + interval);
  last = std::min(next, now + kMaxDelay);
  return last;
}

}  // namespace firmoor
