#include "limits/quota_pool.h"

#include <algorithm>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Part of what is left that one daemon gets at once. All daemons then settle
// at nearly equal allowances, and one that has more callers asks more often.
constexpr double kPartWhenAsked = 0.5;
// The same for a daemon that nobody asked for this quota.
constexpr double kPartWhenIdle = 0.05;

}  // namespace

double QuotaLimit::PerWindow() const {
  return rate_per_s * static_cast<double>(window.count()) / kMsPerSecond +
         burst;
}

double QuotaPool::Grant(const std::string& daemon, const QuotaUse& use,
                        const QuotaLimit& limit, TimePoint now) {
  double left = limit.PerWindow() - use.passed;
  std::erase_if(holders_, [&](const auto& entry) {
    return now - entry.second.at >= limit.window;
  });
  for (const auto& [name, holder] : holders_) {
    if (name != daemon) left -= holder.passed + std::max(0.0, holder.allowance);
  }
  const double part = use.asked > 0 ? kPartWhenAsked : kPartWhenIdle;
  // What was overdrawn is paid back by all, or it could be overdrawn again
  // after each grant.
  const double others = static_cast<double>(holders_.size()) -
                        (holders_.contains(daemon) ? 1.0 : 0.0);
  const double allowance =
      left < 0 ? left / (others + 1)
               : std::max(left * part, std::min(left, use.needed));
  holders_[daemon] = {use.passed, allowance, now};
  return allowance;
}

}  // namespace firmoor
