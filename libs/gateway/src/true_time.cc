#include "gateway/true_time.h"

#include <algorithm>
#include <vector>

namespace firmoor {
namespace {

std::int64_t MonotonicMs(TimePoint now) {
  return now.time_since_epoch().count();
}

}  // namespace

TrueTime::TrueTime(std::int64_t wall_ms, TimePoint now)
    : offset_ms_(wall_ms - MonotonicMs(now)) {}

std::int64_t TrueTime::At(TimePoint now) const {
  return MonotonicMs(now) + offset_ms_;
}

void TrueTime::SetTime(std::int64_t true_ms, TimePoint now) {
  offset_ms_ = true_ms - MonotonicMs(now);
}

void TrueTime::AddClockReading(const std::string& daemon, std::int64_t wall_ms,
                               TimePoint now) {
  offsets_[daemon] = wall_ms - MonotonicMs(now);
  std::vector<std::int64_t> sorted;
  sorted.reserve(offsets_.size());
  for (const auto& [name, offset] : offsets_) sorted.push_back(offset);
  const auto median =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), median, sorted.end());
  offset_ms_ = *median;
}

}  // namespace firmoor
