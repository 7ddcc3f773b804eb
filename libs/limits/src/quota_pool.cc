#include "limits/quota_pool.h"

#include <algorithm>
#include <vector>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Part of what is left that one daemon gets at once.
constexpr double kPartWhenAsked = 0.5;
// The same for a daemon that nobody requested for this quota.
constexpr double kPartWhenIdle = 0.05;
// The same for all of them together: in a large fleet nearly all daemons are
// idle for a workspace, and what they hold is missing where it is requested
// for.
constexpr double kPartOfAllIdle = 0.2;
// Daemons that are not heard of may have had more than an equal part each.
constexpr double kUnevenFactor = 1.5;
// Part of what the window has left that all daemons hold together, by what each
// was requested for. The rest stays for prompts that are larger than an
// allowance, which in a large fleet most are.
constexpr double kPartHeld = 0.5;

}  // namespace

double QuotaLimit::PerWindow() const {
  return rate_per_s * static_cast<double>(window.count()) / kMsPerSecond +
         burst;
}

void QuotaPool::Sums::Add(const Holder& holder) {
  const double taken_now = holder.admitted + std::max(0.0, holder.allowance);
  admitted += holder.admitted;
  requested += holder.requested;
  taken += taken_now;
  if (holder.started_in_window) taken_by_young += taken_now;
  if (holder.requested > 0) ++asked_lives;
  ++lives;
}

void QuotaPool::Sums::Remove(const Holder& holder) {
  const double taken_now = holder.admitted + std::max(0.0, holder.allowance);
  admitted -= holder.admitted;
  requested -= holder.requested;
  taken -= taken_now;
  if (holder.started_in_window) taken_by_young -= taken_now;
  if (holder.requested > 0) --asked_lives;
  --lives;
  // No rounding errors are left over.
  if (lives == 0) *this = {};
}

void QuotaPool::Set(const DaemonInstance& daemon,
                    const std::optional<Holder>& holder) {
  const auto found = holders_.find(daemon);
  if (found != holders_.end()) {
    all_.Remove(found->second);
    by_age_.erase({found->second.at, daemon});
    holders_.erase(found);
  }
  if (!holder) return;
  all_.Add(*holder);
  by_age_.emplace(holder->at, daemon);
  holders_.emplace(daemon, *holder);
}

double QuotaPool::MissingPart(std::size_t heard) const {
  if (heard >= before_.daemons) return 0;
  const double missing = static_cast<double>(before_.daemons - heard) /
                         static_cast<double>(before_.daemons);
  return std::min(1.0, missing * kUnevenFactor);
}

void QuotaPool::DropSilent(const QuotaLimit& limit, TimePoint now) {
  while (!by_age_.empty() && now - by_age_.begin()->first >= limit.window) {
    Set(DaemonInstance(by_age_.begin()->second), std::nullopt);
  }
}

void QuotaPool::EndEarlierLives(const DaemonInstance& daemon) {
  std::vector<std::pair<DaemonInstance, Holder>> earlier;
  for (auto holder = holders_.lower_bound({daemon.daemon, ""});
       holder != holders_.end() && holder->first.daemon == daemon.daemon;
       ++holder) {
    if (holder->first != daemon) earlier.emplace_back(*holder);
  }
  for (auto& [instance, holder] : earlier) {
    holder.admitted += std::max(0.0, std::exchange(holder.allowance, 0));
    Set(instance, holder);
  }
}

QuotaPool::Sums QuotaPool::Others(const DaemonInstance& daemon) const {
  auto sums = all_;
  const auto own = holders_.find(daemon);
  if (own != holders_.end()) sums.Remove(own->second);
  return sums;
}

double QuotaPool::Taken(const Sums& others, const QuotaUsage& use,
                        std::size_t heard, TimePoint now) const {
  const double all = others.taken + use.admitted;
  if (now >= before_until_) return all;
  const double young =
      others.taken_by_young + (use.started_in_window ? use.admitted : 0);
  // Daemons that are not heard of may use all that they had.
  const double unseen = (before_.admitted + before_.held) * MissingPart(heard);
  // What admitted before may be that of daemons that are gone.
  return std::max(all + unseen, before_.admitted + young);
}

double QuotaPool::Allowance(const Sums& others, const QuotaUsage& use,
                            const QuotaLimit& limit, double left) {
  // What was overdrawn is paid back by all, or it could be overdrawn again
  // after each grant.
  if (left < 0) return left / static_cast<double>(others.lives + 1);
  const double requested = others.requested + use.requested;
  const double share = requested > 0 ? use.requested / requested : 0;
  const double free = limit.PerWindow() - others.admitted - use.admitted;
  if (use.requested > 0) {
    const double usual =
        std::min(left * kPartWhenAsked, free * kPartHeld * share);
    return std::max(usual, std::min(left, use.pending));
  }
  const double idle_part = std::min(
      kPartWhenIdle, kPartOfAllIdle / static_cast<double>(others.lives + 1));
  // Less than what others are requested for would be of no use; nothing tells
  // the daemon that it need not report this quota until it is requested.
  const double typical =
      others.asked_lives == 0
          ? 0
          : others.requested / static_cast<double>(others.asked_lives);
  return left * idle_part >= typical ? left * idle_part : 0;
}

QuotaGrant QuotaPool::Grant(const DaemonInstance& daemon, const QuotaUsage& use,
                            const QuotaLimit& limit, std::size_t heard,
                            TimePoint now) {
  DropSilent(limit, now);
  EndEarlierLives(daemon);
  const auto others = Others(daemon);
  const double left = limit.PerWindow() - Taken(others, use, heard, now);
  const double allowance = Allowance(others, use, limit, left);
  Set(daemon, Holder{use.admitted, use.requested, allowance,
                     use.started_in_window, now});
  return {allowance, std::max(0.0, left - allowance)};
}

double QuotaPool::Used(const QuotaLimit& limit, TimePoint now) const {
  double used = 0;
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.at < limit.window) used += holder.admitted;
  }
  return now < before_until_ ? std::max(used, before_.admitted) : used;
}

double QuotaPool::Outstanding(const QuotaLimit& limit, TimePoint now) const {
  double held = 0;
  double admitted = 0;
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.at >= limit.window) continue;
    held += std::max(0.0, holder.allowance);
    admitted += holder.admitted;
  }
  const double unassigned = std::max(0.0, limit.PerWindow() - admitted - held);
  held += unassigned * kUnassignedFraction;
  return now < before_until_ ? std::max(held, before_.held) : held;
}

void QuotaPool::SetPriorState(const PriorQuotaState& before, TimePoint until) {
  before_ = before;
  before_until_ = until;
}

}  // namespace firmoor
