#include "routing/config_freshness.h"

#include <algorithm>

namespace firmoor {

void ConfigFreshness::Confirm(TimePoint asked_at) {
  confirmed_ = confirmed_ ? std::max(*confirmed_, asked_at) : asked_at;
}

bool ConfigFreshness::IsFresh(TimePoint now) const {
  return confirmed_ && now - *confirmed_ < bound_;
}

std::optional<Duration> ConfigFreshness::Age(TimePoint now) const {
  if (!confirmed_) return std::nullopt;
  return now - *confirmed_;
}

}  // namespace firmoor
