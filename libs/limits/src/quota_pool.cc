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

double QuotaPool::Taken(const DaemonLife& daemon, const QuotaUse& use,
                        TimePoint now) const {
  double all = use.passed;
  double young = use.is_young ? use.passed : 0;
  for (const auto& [name, holder] : holders_) {
    if (name == daemon) continue;
    const double taken = holder.passed + std::max(0.0, holder.allowance);
    all += taken;
    if (holder.is_young) young += taken;
  }
  // What passed before may be that of daemons that are gone.
  return now < before_until_ ? std::max(all, used_before_ + young) : all;
}

QuotaGrant QuotaPool::Grant(const DaemonLife& daemon, const QuotaUse& use,
                            const QuotaLimit& limit, TimePoint now) {
  std::erase_if(holders_, [&](const auto& entry) {
    return now - entry.second.at >= limit.window;
  });
  for (auto& [name, holder] : holders_) {
    const bool ended = name.daemon == daemon.daemon && name != daemon;
    if (ended) holder.allowance = 0;
  }
  const double left = limit.PerWindow() - Taken(daemon, use, now);
  const double part = use.asked > 0 ? kPartWhenAsked : kPartWhenIdle;
  // What was overdrawn is paid back by all, or it could be overdrawn again
  // after each grant.
  const double others = static_cast<double>(holders_.size()) -
                        (holders_.contains(daemon) ? 1.0 : 0.0);
  const double allowance =
      left < 0 ? left / (others + 1)
               : std::max(left * part, std::min(left, use.needed));
  holders_[daemon] = {use.passed, allowance, use.is_young, now};
  return {allowance, std::max(0.0, left - allowance)};
}

double QuotaPool::Used(const QuotaLimit& limit, TimePoint now) const {
  double used = 0;
  for (const auto& [life, holder] : holders_) {
    if (now - holder.at < limit.window) used += holder.passed;
  }
  return now < before_until_ ? std::max(used, used_before_) : used;
}

void QuotaPool::SetUsedBefore(double tokens, TimePoint until) {
  used_before_ = tokens;
  before_until_ = until;
}

}  // namespace firmoor
