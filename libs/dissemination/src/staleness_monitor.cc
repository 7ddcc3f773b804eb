#include "dissemination/staleness_monitor.h"

#include <algorithm>

namespace firmoor {
namespace {

// Longer than the store takes to answer, except when it is overloaded.
constexpr Duration kFirstBackoff{300};
constexpr Duration kMaxBackoff{1'200};

}  // namespace

StalenessMonitor::StalenessMonitor(Duration max_age)
    : max_age_(max_age), backoff_(kFirstBackoff) {}

bool StalenessMonitor::TakeDue(std::optional<Duration> age, TimePoint now) {
  if (!age || *age < max_age_) {
    backoff_ = kFirstBackoff;
    asked_at_.reset();
    return false;
  }
  if (asked_at_) {
    if (now - *asked_at_ < backoff_) return false;
    backoff_ = std::min(kMaxBackoff, backoff_ * 2);
  }
  asked_at_ = now;
  return true;
}

}  // namespace firmoor
