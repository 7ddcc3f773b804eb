#include "capacity/concurrency_limit.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr double kDecreaseFactor = 0.8;
// Many requests observe the same slow batch; it must count once.
constexpr Duration kDecreaseInterval{200};

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::int64_t ceiling)
    : ceiling_(static_cast<double>(ceiling)),
      value_(static_cast<double>(ceiling)) {
  FIRMOOR_PRECONDITION(ceiling >= 1, "the ceiling is at least one");
}

void ConcurrencyLimit::OnSample(Duration time, Duration bound, bool was_full,
                                TimePoint now) {
  if (time > bound) {
    if (now - last_decrease_ < kDecreaseInterval) return;
    last_decrease_ = now;
    value_ = std::max(1.0, value_ * kDecreaseFactor);
  } else if (was_full) {
    value_ = std::min(ceiling_, value_ + 1.0 / value_);
  }
}

void ConcurrencyLimit::SetCeiling(std::int64_t ceiling) {
  FIRMOOR_PRECONDITION(ceiling >= 1, "the ceiling is at least one");
  if (static_cast<double>(ceiling) == ceiling_) return;
  ceiling_ = static_cast<double>(ceiling);
  value_ = ceiling_;
}

}  // namespace firmoor
