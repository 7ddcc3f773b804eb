#include "limits/upstream_limit_divider.h"

#include <algorithm>
#include <cstddef>

namespace firmoor {
namespace {

// Announcements passed on per reply; the rest follows in the next ones.
constexpr std::size_t kMaxUnseenPerReply = 64;
constexpr Duration kCleaningPeriod{10'000};

}  // namespace

UpstreamLimitDivider::UpstreamLimitDivider(std::int64_t term,
                                           TimePoint started_at)
    : term_(term),
      grants_from_(started_at + kPermitLifetime),
      cleaned_at_(started_at),
      slots_(grants_from_) {}

void UpstreamLimitDivider::Record(const std::string& upstream,
                                  const UpstreamLimitReport& report,
                                  TimePoint now) {
  const auto known = limits_.all().find(upstream);
  const bool is_new_run =
      known != limits_.all().end() && known->second.born_ms != report.born_ms;
  const auto change = limits_.Apply(
      upstream, {report.born_ms, report.rate_per_s, now - report.age});
  if (change == LimitChange::kNone) return;
  const auto previous = change_of_.find(upstream);
  if (previous != change_of_.end()) changes_.erase(previous->second);
  change_of_[upstream] = ++last_change_;
  changes_[last_change_] = upstream;
  if (is_new_run || !report.rate_per_s) pools_.erase(upstream);
  if (!report.rate_per_s) return;
  const auto pool = pools_.try_emplace(upstream, *report.rate_per_s,
                                       std::max(now, grants_from_));
  if (!pool.second) pool.first->second.SetRate(*report.rate_per_s, now);
}

UpstreamLimitGrant UpstreamLimitDivider::AnnouncementOf(
    const std::string& upstream, TimePoint now) const {
  UpstreamLimitGrant grant;
  const auto known = limits_.all().find(upstream);
  if (known == limits_.all().end()) return grant;
  grant.born_ms = known->second.born_ms;
  grant.rate_per_s = known->second.rate_per_s;
  grant.age = std::max(Duration(0), now - known->second.announced_at);
  return grant;
}

UpstreamLimitGrant UpstreamLimitDivider::Grant(
    const std::string& daemon, const std::string& upstream,
    const UpstreamLimitReport& report, double fraction, TimePoint now) {
  auto grant = AnnouncementOf(upstream, now);
  const auto pool = pools_.find(upstream);
  const bool is_current = pool != pools_.end() &&
                          grant.born_ms == report.born_ms &&
                          now >= grants_from_;
  if (!is_current) return grant;
  pool->second.SetFraction(fraction, now);
  const auto taken = pool->second.Take(
      daemon, {report.wanted_per_s, report.waiting, report.returned}, now);
  grant.permits = taken.permits;
  grant.next_in = taken.next_in;
  grant.daemon_rate_per_s = taken.rate_per_s;
  return grant;
}

void UpstreamLimitDivider::AddUnseen(std::int64_t cursor,
                                     UpstreamLimitReply* reply,
                                     TimePoint now) const {
  std::size_t added = 0;
  reply->cursor = last_change_;
  for (auto change = changes_.upper_bound(cursor); change != changes_.end();
       ++change) {
    if (added++ == kMaxUnseenPerReply) break;
    reply->cursor = change->first;
    reply->upstreams.try_emplace(change->second,
                                 AnnouncementOf(change->second, now));
  }
  if (added <= kMaxUnseenPerReply) reply->cursor = last_change_;
}

void UpstreamLimitDivider::RemoveForgotten(TimePoint now) {
  if (now - cleaned_at_ < kCleaningPeriod) return;
  cleaned_at_ = now;
  for (const auto& upstream : limits_.RemoveForgotten(now)) {
    pools_.erase(upstream);
    const auto change = change_of_.find(upstream);
    if (change == change_of_.end()) continue;
    changes_.erase(change->second);
    change_of_.erase(change);
  }
}

UpstreamLimitReply UpstreamLimitDivider::OnReport(
    const std::string& daemon, const UpstreamLimitReports& reports,
    double fraction, TimePoint now) {
  RemoveForgotten(now);
  UpstreamLimitReply reply;
  reply.term = term_;
  reply.grants_permits = now >= grants_from_;
  for (const auto& [upstream, report] : reports.upstreams) {
    Record(upstream, report, now);
    const auto grant = Grant(daemon, upstream, report, fraction, now);
    if (limits_.all().contains(upstream)) reply.upstreams[upstream] = grant;
  }
  slots_.OnReport(daemon, reports, fraction, now, &reply);
  AddUnseen(reports.term == term_ ? reports.cursor : 0, &reply, now);
  return reply;
}

}  // namespace firmoor
