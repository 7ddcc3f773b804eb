#include "routing/config_freshness.h"

#include <algorithm>

namespace firmoor {
namespace {

// A watch of the store may miss changes for this long before it is
// disconnected.
constexpr Duration kMaxMissedChanges{1'000};

}  // namespace

void ConfigFreshness::Confirm(TimePoint asked_at) {
  confirmed_ = confirmed_ ? std::max(*confirmed_, asked_at) : asked_at;
}

void ConfigFreshness::ConfirmVersion(std::int64_t version, TimePoint asked_at) {
  if (version >= told_version_) return Confirm(asked_at);
  if (asked_at - told_at_ >= kMaxMissedChanges) {
    confirmed_ = confirmed_before_return_;
  }
}

void ConfigFreshness::OnVersionTold(std::int64_t version, TimePoint now) {
  if (version <= told_version_) return;
  told_version_ = version;
  told_at_ = now;
}

bool ConfigFreshness::IsFresh(TimePoint now) const {
  return confirmed_ && now - *confirmed_ < bound_;
}

std::optional<Duration> ConfigFreshness::Age(TimePoint now) const {
  if (!confirmed_) return std::nullopt;
  return now - *confirmed_;
}

}  // namespace firmoor
