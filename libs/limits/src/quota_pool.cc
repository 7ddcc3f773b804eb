#include "limits/quota_pool.h"

#include <algorithm>
#include <vector>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Largest fraction of the tokens left that one daemon gets, unless callers wait
// for more.
constexpr double kActiveGrantFraction = 0.5;
// The same for a daemon without requests for this quota.
constexpr double kIdleGrantFraction = 0.05;
// Limit for all daemons without requests together. In a large fleet nearly all
// daemons are idle for a given workspace, and tokens that they hold are missing
// where they are needed.
constexpr double kTotalIdleFraction = 0.2;
// Daemons that do not report may have used more than an equal share each.
constexpr double kImbalanceFactor = 1.5;
// Fraction of the unused tokens that all daemons hold together, divided by
// their requests. The rest is kept for prompts that are larger than an
// allowance, which most prompts are in a large fleet.
constexpr double kMaxOutstandingFraction = 0.5;

}  // namespace

double QuotaLimit::PerWindow() const {
  return rate_per_s * static_cast<double>(window.count()) / kMsPerSecond +
         burst;
}

double QuotaPool::DaemonState::Committed() const {
  return std::max(admitted + std::max(0.0, allowance), held);
}

void QuotaPool::Sums::Add(const DaemonState& state) {
  const double committed_now = state.Committed();
  admitted += state.admitted;
  requested += state.requested;
  committed += committed_now;
  if (state.started_in_window) committed_by_new += committed_now;
  if (state.requested > 0) ++active_count;
  ++count;
}

void QuotaPool::Sums::Remove(const DaemonState& state) {
  const double committed_now = state.Committed();
  admitted -= state.admitted;
  requested -= state.requested;
  committed -= committed_now;
  if (state.started_in_window) committed_by_new -= committed_now;
  if (state.requested > 0) --active_count;
  --count;
  // Discard accumulated rounding errors.
  if (count == 0) *this = {};
}

void QuotaPool::SetState(const DaemonInstance& daemon,
                         const std::optional<DaemonState>& state) {
  const auto found = daemons_.find(daemon);
  if (found != daemons_.end()) {
    totals_.Remove(found->second);
    by_end_.erase({found->second.counts_until, daemon});
    daemons_.erase(found);
  }
  if (!state) return;
  totals_.Add(*state);
  by_end_.emplace(state->counts_until, daemon);
  daemons_.emplace(daemon, *state);
}

double QuotaPool::MissingFraction(std::size_t reporting_daemons) const {
  if (reporting_daemons >= prior_.daemons) return 0;
  const double missing =
      static_cast<double>(prior_.daemons - reporting_daemons) /
      static_cast<double>(prior_.daemons);
  return std::min(1.0, missing * kImbalanceFactor);
}

void QuotaPool::RemoveExpired(TimePoint now) {
  while (!by_end_.empty() && now >= by_end_.begin()->first) {
    SetState(DaemonInstance(by_end_.begin()->second), std::nullopt);
  }
}

void QuotaPool::RetireEarlierInstances(const DaemonInstance& daemon,
                                       const QuotaLimit& limit, TimePoint now) {
  std::vector<std::pair<DaemonInstance, DaemonState>> earlier;
  for (auto state = daemons_.lower_bound({daemon.daemon, ""});
       state != daemons_.end() && state->first.daemon == daemon.daemon;
       ++state) {
    const bool is_earlier = state->first != daemon && !state->second.has_ended;
    if (is_earlier) earlier.emplace_back(*state);
  }
  for (auto& [instance, state] : earlier) {
    state.admitted = state.Committed();
    state.allowance = 0;
    state.held = 0;
    state.has_ended = true;
    // It may have gone on until its successor started.
    if (state.continues) state.counts_until = now + limit.window;
    SetState(instance, state);
  }
}

QuotaPool::Sums QuotaPool::Others(const DaemonInstance& daemon) const {
  auto sums = totals_;
  const auto own = daemons_.find(daemon);
  if (own != daemons_.end()) sums.Remove(own->second);
  return sums;
}

void QuotaPool::RecordFirstReport(const DaemonInstance& daemon,
                                  const QuotaUsage& use) {
  if (daemons_.contains(daemon)) return;
  const double held = use.held.value_or(use.admitted);
  // The previous coordinator knew of a new daemon's usage if it granted it.
  prior_reported_.admitted +=
      use.started_in_window ? std::min(use.admitted, held) : use.admitted;
  prior_reported_.held += held;
}

double QuotaPool::UnreportedTokens(TimePoint now) const {
  if (!prior_.is_final || now >= prior_until_) return 0;
  return std::max(0.0, prior_.admitted - prior_reported_.admitted);
}

double QuotaPool::UnreportedHolds(std::size_t reporting_daemons,
                                  TimePoint now) const {
  if (now >= prior_until_ + kQuotaContinuation) return 0;
  const double all = prior_.admitted + prior_.outstanding;
  const double estimate = all * MissingFraction(reporting_daemons);
  return prior_.is_final ? std::clamp(all - prior_reported_.held, 0.0, estimate)
                         : estimate;
}

double QuotaPool::CommittedTokens(const Sums& others, const QuotaUsage& use,
                                  std::size_t reporting_daemons,
                                  TimePoint now) const {
  const double all = others.committed + use.admitted;
  // Daemons that do not report may use all that they hold.
  const double held = UnreportedHolds(reporting_daemons, now);
  if (now >= prior_until_) return all + held;
  // Usage that was handed over may be that of daemons that have ended.
  const double new_daemons =
      others.committed_by_new + (use.started_in_window ? use.admitted : 0);
  return std::max(all + std::max(held, UnreportedTokens(now)),
                  prior_.admitted + new_daemons);
}

double QuotaPool::Allowance(const Sums& others, const QuotaUsage& use,
                            const QuotaLimit& limit, double left) {
  // The overdraft is shared by all daemons, or it could be repeated after each
  // grant.
  if (left < 0) return left / static_cast<double>(others.count + 1);
  const double requested = others.requested + use.requested;
  const double share = requested > 0 ? use.requested / requested : 0;
  const double unused = limit.PerWindow() - others.admitted - use.admitted;
  if (use.requested > 0) {
    // Shares change with each report, but what was granted by an earlier share
    // is held until the next one.
    const double held = others.committed - others.admitted;
    const double holdable =
        std::max(0.0, unused * kMaxOutstandingFraction - held);
    const double base_grant =
        std::min({left * kActiveGrantFraction,
                  unused * kMaxOutstandingFraction * share, holdable});
    return std::max(base_grant, std::min(left, use.pending));
  }
  const double idle_fraction =
      std::min(kIdleGrantFraction,
               kTotalIdleFraction / static_cast<double>(others.count + 1));
  // A grant below the usual demand of a daemon would be useless. A zero grant
  // also tells the daemon to omit this quota from its reports until it is
  // requested.
  const double mean_request =
      others.active_count == 0
          ? 0
          : others.requested / static_cast<double>(others.active_count);
  return left * idle_fraction >= mean_request ? left * idle_fraction : 0;
}

QuotaGrant QuotaPool::Grant(const DaemonInstance& daemon, const QuotaUsage& use,
                            const QuotaLimit& limit,
                            std::size_t reporting_daemons, TimePoint now) {
  RemoveExpired(now);
  RetireEarlierInstances(daemon, limit, now);
  RecordFirstReport(daemon, use);
  auto others = Others(daemon);
  const double left =
      limit.PerWindow() - CommittedTokens(others, use, reporting_daemons, now);
  // Daemons that report later need their shares as well.
  const double unreported = UnreportedTokens(now);
  others.admitted += unreported;
  others.requested += unreported;
  others.committed += unreported;
  const double allowance = Allowance(others, use, limit, left);
  const auto continuation = use.held ? kQuotaContinuation : Duration(0);
  DaemonState state;
  state.admitted = use.admitted;
  state.requested = use.requested;
  state.allowance = allowance;
  // Until it has this reply, the daemon goes on with what it had of the
  // previous coordinator.
  const bool may_have_earlier_grant = now < prior_until_ + kQuotaContinuation;
  if (may_have_earlier_grant) state.held = use.held.value_or(0);
  state.started_in_window = use.started_in_window;
  state.continues = use.held.has_value();
  state.reported_at = now;
  state.counts_until = now + continuation + limit.window;
  SetState(daemon, state);
  return {allowance, std::max(0.0, left - allowance), continuation};
}

double QuotaPool::Used(const QuotaLimit& limit, TimePoint now) const {
  double used = 0;
  for (const auto& [instance, state] : daemons_) {
    if (state.IsInWindow(limit, now)) used += state.admitted;
  }
  return now < prior_until_
             ? std::max(used + UnreportedTokens(now), prior_.admitted)
             : used;
}

double QuotaPool::Outstanding(const QuotaLimit& limit, TimePoint now) const {
  double outstanding = 0;
  double used = 0;
  for (const auto& [instance, state] : daemons_) {
    if (now >= state.counts_until) continue;
    outstanding += state.Committed() - state.admitted;
    // A daemon that has been silent for a window may admit as much again.
    (state.IsInWindow(limit, now) ? used : outstanding) += state.admitted;
  }
  const double unassigned =
      std::max(0.0, limit.PerWindow() - used - outstanding);
  outstanding += unassigned * kUnassignedFraction;
  return now < prior_until_ ? std::max(outstanding, prior_.outstanding)
                            : outstanding;
}

void QuotaPool::SetPriorState(const PriorQuotaState& prior, TimePoint until) {
  prior_ = prior;
  prior_until_ = until;
  prior_reported_ = {};
}

}  // namespace firmoor
