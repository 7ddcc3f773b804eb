#include "gateway/coordination.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

// Daemons report once a second; after three missing reports one counts as
// away.
constexpr Duration kAwayAfter{3'000};
// A new coordinator that does not know how many daemons there are limits_ready
// when every one had time for two reports.
constexpr Duration kFirstDivision{2'500};
// A daemon that is silent for longer was replaced, or is cut off beyond the
// time by which usage is due.
constexpr Duration kCountsInTime{10'000};
// How soon a daemon that fell silent is no longer read from; those that read
// from it go elsewhere by themselves before.
constexpr Duration kSweepPeriod{500};
// A daemon that was replaced stops counting after this time.
constexpr Duration kForgetAfter{60'000};

}  // namespace

Coordinator::Coordinator(TimePoint started_at, CoordinatorHandoverState before,
                         TimePoint previous_until)
    : started_at_(started_at),
      before_(std::move(before)),
      before_until_(previous_until),
      swept_at_(started_at) {}

QuotaPool& Coordinator::PoolOf(const std::string& workspace) {
  const auto [found, is_new] = quotas_.try_emplace(workspace);
  if (!is_new) return found->second;
  const auto tokens_of = [&](const std::map<std::string, double>& tokens) {
    const auto entry = tokens.find(workspace);
    return entry == tokens.end() ? 0 : entry->second;
  };
  found->second.SetPriorState(
      {tokens_of(before_.used), tokens_of(before_.held), before_.daemons},
      before_until_);
  return found->second;
}

bool Coordinator::Divides(TimePoint now) const {
  // The one that held the lease before is mostly missing.
  const bool all_heard =
      before_.daemons > 1 && heard_.size() + 1 >= before_.daemons;
  return all_heard || now - started_at_ >= kFirstDivision;
}

CoordinatorReply Coordinator::OnReport(
    const DaemonReport& report,
    const std::function<QuotaLimit(const std::string&)>& limit_of,
    std::int64_t true_ms, TimePoint now) {
  auto& heard = heard_[report.daemon];
  const bool same =
      heard.place == report.place && heard.is_draining == report.is_draining;
  heard = {true_ms, now, report.is_draining, report.place, report.loads};
  if (!same || now - swept_at_ >= kSweepPeriod) Sweep(now);
  usage_.OnReport(report.instance_id, report.usage);
  CoordinatorReply grant;
  grant.true_ms = true_ms;
  grant.limits_ready = Divides(now);
  grant.limits.daemons = heard_.size();
  for (const auto& [workspace, use] : report.quotas) {
    grant.limits.quota_grants[workspace] =
        PoolOf(workspace).Grant({report.daemon, report.instance_id}, use,
                                limit_of(workspace), heard_.size(), now);
  }
  grant.sources = tree_.SourcesOf(report.daemon, report.place.region);
  return grant;
}

void Coordinator::Sweep(TimePoint now) {
  swept_at_ = now;
  std::erase_if(heard_, [now](const auto& entry) {
    return now - entry.second.at > kForgetAfter;
  });
  std::map<std::string, DaemonLocation> readers;
  for (const auto& [daemon, heard] : heard_) {
    const bool reads = !heard.is_draining && now - heard.at <= kAwayAfter &&
                       heard.place.peer_endpoint.port != 0;
    if (reads) readers.emplace(daemon, heard.place);
  }
  tree_.SetDaemons(readers);
}

CoordinatorHandoverState Coordinator::MakeHandoverState(
    const std::function<QuotaLimit(const std::string&)>& limit_of,
    TimePoint now) const {
  CoordinatorHandoverState note;
  note.daemons = heard_.size();
  if (!Divides(now)) note.daemons = std::max(note.daemons, before_.daemons);
  if (now < before_until_) {
    note.used = before_.used;
    note.held = before_.held;
  }
  for (const auto& [workspace, pool] : quotas_) {
    note.used[workspace] = pool.Used(limit_of(workspace), now);
    note.held[workspace] = pool.Outstanding(limit_of(workspace), now);
  }
  return note;
}

bool Coordinator::AllReportedSince(std::int64_t true_ms, TimePoint now) const {
  const bool knows_all =
      heard_.size() >= before_.daemons || now - started_at_ > kCountsInTime;
  return knows_all &&
         std::all_of(heard_.begin(), heard_.end(), [&](const auto& entry) {
           const auto& heard = entry.second;
           return heard.true_ms >= true_ms ||
                  now - heard.at >
                      (heard.is_draining ? kAwayAfter : kCountsInTime);
         });
}

std::map<std::string, ServiceLoad> Coordinator::Loads(TimePoint now) const {
  std::map<std::string, ServiceLoad> sums;
  for (const auto& [daemon, heard] : heard_) {
    if (now - heard.at > kAwayAfter) continue;
    for (const auto& [service, load] : heard.loads) {
      sums[service].in_flight += load.in_flight;
      sums[service].tokens_per_s += load.tokens_per_s;
    }
  }
  return sums;
}

}  // namespace firmoor
