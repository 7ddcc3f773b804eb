#include "gateway/coordination.h"

#include <algorithm>
#include <set>
#include <utility>

#include "placement/successor_choice.h"

namespace firmoor {
namespace {

// Daemons report once a second; a daemon is unresponsive after three missed
// reports.
constexpr Duration kUnresponsiveAfter{3'000};
// A new coordinator that does not know the number of daemons divides no limits
// before every daemon has had time for two reports.
constexpr Duration kInitialReportWait{2'500};
// Some of the daemons that reported to the coordinator before may have ended.
constexpr std::size_t kAllParts = 10;
constexpr std::size_t kMostParts = 9;
// Daemons report once a second.
constexpr Duration kReportingWithin{1'500};
// Usage is due this long after its window. A daemon that has not reported for
// longer was replaced, or is cut off and would report too late.
constexpr Duration kUsageDeadline{10'000};
// Longest delay until an unresponsive daemon leaves the distribution tree. Its
// readers switch to another source on their own before that.
constexpr Duration kRefreshPeriod{500};
// Daemons that are silent for this long may be restarting, under the same name
// and at the same endpoint.
constexpr Duration kDirectoryRetention{10'000};
// A daemon that has not reported for this time is removed.
constexpr Duration kRetention{60'000};

}  // namespace

Coordinator::Coordinator(TimePoint started_at,
                         CoordinatorHandoverState previous,
                         TimePoint previous_until, std::int64_t fencing_token)
    : started_at_(started_at),
      previous_(std::move(previous)),
      previous_until_(previous_until),
      upstream_limits_(fencing_token, started_at),
      quarantine_(fencing_token),
      shortage_(started_at),
      directory_(fencing_token),
      refreshed_at_(started_at) {}

QuotaPool& Coordinator::PoolOf(const std::string& workspace) {
  const auto [found, is_new] = quotas_.try_emplace(workspace);
  if (!is_new) return found->second;
  const auto tokens_of = [&](const std::map<std::string, double>& tokens) {
    const auto entry = tokens.find(workspace);
    return entry == tokens.end() ? 0 : entry->second;
  };
  found->second.SetPriorState({tokens_of(previous_.used_tokens),
                               tokens_of(previous_.outstanding_tokens),
                               previous_.daemons, is_previous_final_},
                              previous_until_);
  return found->second;
}

bool Coordinator::CanDivideLimits(TimePoint now) const {
  // The previous coordinator is counted in the handover state, but usually does
  // not report any more.
  const bool most_expected =
      expected_daemons_ > 0 &&
      daemons_.size() * kAllParts >= expected_daemons_ * kMostParts;
  if (most_expected) return true;
  const bool all_reported =
      previous_.daemons > 1 && daemons_.size() + 1 >= previous_.daemons;
  return all_reported || now - started_at_ >= kInitialReportWait;
}

CoordinatorReply Coordinator::OnReport(
    const DaemonReport& report,
    const std::function<QuotaLimit(const std::string&)>& limit_of,
    std::int64_t true_ms, TimePoint now) {
  auto& state = daemons_[report.daemon];
  const bool same = state.location == report.location &&
                    state.is_draining == report.is_draining;
  state = {true_ms,         now,          report.is_draining,
           report.location, report.loads, report.instance_id,
           report.uptime,   report.cores};
  if (!same || now - refreshed_at_ >= kRefreshPeriod) RefreshDaemons(now);
  usage_.OnReport(report.instance_id, report.usage);
  CoordinatorReply reply;
  reply.true_ms = true_ms;
  reply.limits_ready = CanDivideLimits(now);
  reply.limits.daemons = daemons_.size();
  for (const auto& [workspace, use] : report.quotas) {
    reply.limits.quota_grants[workspace] =
        PoolOf(workspace).Grant({report.daemon, report.instance_id}, use,
                                limit_of(workspace), daemons_.size(), now);
  }
  reply.upstream_limits = upstream_limits_.OnReport(
      report.daemon, report.upstream_limits, ReportingFraction(now), now);
  reply.upstream_limits.grants_permits &= reply.limits_ready;
  reply.quarantine = quarantine_.OnReport(report.quarantine, now);
  reply.shortage = shortage_.OnReport(
      report.shortage,
      [&](const std::string& name) { return limit_of(name).rate_per_s; }, now);
  reply.stream_ends =
      stream_ends_.OnReport(report.instance_id, report.stream_ends, now);
  if (reply.limits_ready && report.directory) {
    reply.directory = directory_.UpdateSince(*report.directory);
  }
  reply.sources = tree_.SourcesOf(report.daemon, report.location.region);
  return reply;
}

double Coordinator::ReportingFraction(TimePoint now) const {
  // Daemons that do not report keep to an equal share by themselves. Those that
  // the previous coordinator knew may still run.
  const bool is_new = now - started_at_ < kUsageDeadline;
  const auto known =
      std::max(daemons_.size(), is_new ? previous_.daemons : std::size_t{0});
  return static_cast<double>(std::max<std::size_t>(1, responsive_count_)) /
         static_cast<double>(std::max<std::size_t>(1, known));
}

void Coordinator::RefreshDaemons(TimePoint now) {
  refreshed_at_ = now;
  std::erase_if(daemons_, [now](const auto& entry) {
    return now - entry.second.reported_at > kRetention;
  });
  std::map<std::string, DaemonLocation> readers;
  std::map<std::string, DaemonLocation> known;
  responsive_count_ = 0;
  for (const auto& [daemon, state] : daemons_) {
    if (now - state.reported_at <= kUnresponsiveAfter) ++responsive_count_;
    if (state.location.peer_endpoint.port != 0 &&
        now - state.reported_at <= kDirectoryRetention) {
      known.emplace(daemon, state.location);
    }
    const bool reads = !state.is_draining &&
                       now - state.reported_at <= kUnresponsiveAfter &&
                       state.location.peer_endpoint.port != 0;
    if (reads) readers.emplace(daemon, state.location);
  }
  tree_.SetDaemons(readers);
  directory_.SetDaemons(known);
}

CoordinatorHandoverState Coordinator::MakeHandoverState(
    const std::function<QuotaLimit(const std::string&)>& limit_of,
    TimePoint now) const {
  CoordinatorHandoverState handover_state;
  handover_state.daemons = daemons_.size();
  if (!CanDivideLimits(now)) {
    handover_state.daemons =
        std::max(handover_state.daemons, previous_.daemons);
  }
  if (now < previous_until_) {
    handover_state.used_tokens = previous_.used_tokens;
    handover_state.outstanding_tokens = previous_.outstanding_tokens;
  }
  for (const auto& [workspace, pool] : quotas_) {
    handover_state.used_tokens[workspace] = pool.Used(limit_of(workspace), now);
    handover_state.outstanding_tokens[workspace] =
        pool.Outstanding(limit_of(workspace), now);
  }
  return handover_state;
}

bool Coordinator::AllReportedSince(std::int64_t true_ms, TimePoint now) const {
  const bool all_known = daemons_.size() >= previous_.daemons ||
                         now - started_at_ > kUsageDeadline;
  return all_known &&
         std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
           const auto& state = entry.second;
           return state.true_ms >= true_ms ||
                  now - state.reported_at >
                      (state.is_draining ? kUnresponsiveAfter : kUsageDeadline);
         });
}

bool Coordinator::IsReporting(const DaemonState& state, TimePoint now) {
  return !state.is_draining && now - state.reported_at <= kReportingWithin;
}

std::optional<Coordinator::Successor> Coordinator::ChooseSuccessor(
    const std::string& own_daemon, TimePoint now) const {
  std::vector<SuccessorCandidate> candidates;
  for (const auto& [daemon, state] : daemons_) {
    if (daemon == own_daemon || state.location.peer_endpoint.port == 0) {
      continue;
    }
    candidates.push_back({daemon, state.is_draining, now - state.reported_at,
                          state.uptime, state.cores});
  }
  const auto daemon = firmoor::ChooseSuccessor(candidates);
  if (!daemon) return std::nullopt;
  const auto& state = daemons_.at(*daemon);
  return Successor{*daemon, state.instance_id, state.location.peer_endpoint};
}

HandOverNotice Coordinator::MakeNotice(std::int64_t fencing,
                                       std::int64_t first_window,
                                       TimePoint now) const {
  HandOverNotice notice;
  notice.fencing = fencing;
  std::set<std::string> reporting;
  for (const auto& [daemon, state] : daemons_) {
    if (IsReporting(state, now)) reporting.insert(state.instance_id);
  }
  notice.reporting = reporting.size();
  notice.ended_usage =
      usage_.CountsSince(first_window, [&](const std::string& instance) {
        return !reporting.contains(instance);
      });
  return notice;
}

void Coordinator::OnNotice(const HandOverNotice& notice) {
  is_previous_final_ = true;
  expected_daemons_ = notice.reporting;
  for (const auto& [instance, windows] : notice.ended_usage) {
    usage_.OnReport(instance, windows);
  }
}

std::map<std::string, ServiceLoad> Coordinator::Loads(TimePoint now) const {
  std::map<std::string, ServiceLoad> sums;
  for (const auto& [daemon, state] : daemons_) {
    if (now - state.reported_at > kUnresponsiveAfter) continue;
    for (const auto& [service, load] : state.loads) {
      sums[service].in_flight += load.in_flight;
      sums[service].tokens_per_s += load.tokens_per_s;
    }
  }
  return sums;
}

}  // namespace firmoor
