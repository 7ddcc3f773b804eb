#include "gateway/coordination.h"

#include <algorithm>

namespace firmoor {
namespace {

// Daemons report once a second; after three missing reports one counts as
// away.
constexpr Duration kAwayAfter{3'000};
// A new coordinator divides when every daemon had time for two reports.
constexpr Duration kFirstDivision{2'500};
// A daemon that was replaced stops counting after this time.
constexpr Duration kForgetAfter{60'000};

}  // namespace

Coordinator::Coordinator(TimePoint started_at) : started_at_(started_at) {}

CoordinatorGrant Coordinator::OnReport(
    const DaemonReport& report,
    const std::function<QuotaLimit(const std::string&)>& limit_of,
    std::int64_t true_ms, TimePoint now) {
  std::erase_if(heard_, [now](const auto& entry) {
    return now - entry.second.at > kForgetAfter;
  });
  heard_[report.daemon] = {true_ms, now, report.loads};
  usage_.OnReport(report.life, report.usage);
  CoordinatorGrant grant;
  grant.true_ms = true_ms;
  grant.divides = now - started_at_ >= kFirstDivision;
  grant.limits.daemons = heard_.size();
  for (const auto& [workspace, use] : report.quotas) {
    grant.limits.quota_grants[workspace] =
        quotas_[workspace].Grant(report.daemon, use, limit_of(workspace), now);
  }
  return grant;
}

bool Coordinator::AllReportedSince(std::int64_t true_ms, TimePoint now) const {
  return std::all_of(heard_.begin(), heard_.end(), [&](const auto& entry) {
    return entry.second.true_ms >= true_ms ||
           now - entry.second.at > kAwayAfter;
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
