#include "limits/slot_divider.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kCleaningPeriod{2'000};
// A daemon that has not reported for some intervals has probably ended.
constexpr Duration kReporterLifetime{5'000};
// Upstreams that become short within this time have lost room together.
constexpr Duration kSharedShortage{1'000};
// Services in a reply, which bounds its size.
constexpr std::size_t kMaxServices = 16;

}  // namespace

SlotDivider::SlotDivider(TimePoint grants_from)
    : grants_from_(grants_from), cleaned_at_(grants_from) {}

void SlotDivider::RecordReporter(const std::string& daemon, bool keeps_slots,
                                 TimePoint now) {
  auto& reporter = reporters_[daemon];
  keeping_ -= reporter.keeps_slots ? 1 : 0;
  reporter = {now, keeps_slots};
  keeping_ += keeps_slots ? 1 : 0;
}

void SlotDivider::RecordBrittleness(const UpstreamLimitReports& reports,
                                    TimePoint now) {
  for (const auto& [service, report] : reports.brittle) {
    brittle_.Apply(service, {0, report.rejection_tolerance, now - report.age});
  }
}

void SlotDivider::AddBrittleness(UpstreamLimitReply* reply,
                                 TimePoint now) const {
  for (const auto& [service, announced] : brittle_.all()) {
    if (reply->brittle.size() == kMaxServices) break;
    reply->brittle[service] = {
        announced.rate_per_s,
        std::max(Duration(0), now - announced.announced_at)};
  }
}

SlotPool* SlotDivider::PoolOf(const std::string& id,
                              const UpstreamSlotReport& report, TimePoint now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    if (report.born_ms == found->second.born_ms) return &found->second.pool;
    if (report.born_ms < found->second.born_ms) return nullptr;
    found->second = {report.born_ms, found->second.pool.OfNextRun()};
    return &found->second.pool;
  }
  const auto made = upstreams_.emplace(
      id, Upstream{report.born_ms, SlotPool(report.room, now)});
  return &made.first->second.pool;
}

void SlotDivider::RecordShortage(const std::string& service,
                                 const std::string& upstream, TimePoint now) {
  auto& shortage = shortages_[service];
  const bool is_shared = !shortage.upstream.empty() &&
                         shortage.upstream != upstream &&
                         now - shortage.at < kSharedShortage;
  if (is_shared) shortage.shared_at = now;
  shortage.upstream = upstream;
  shortage.at = now;
}

bool SlotDivider::HasShortage(const std::string& service, TimePoint now) const {
  const auto found = shortages_.find(service);
  return found != shortages_.end() && found->second.shared_at &&
         now - *found->second.shared_at < kSharedShortage;
}

double SlotDivider::KeepingFraction() const {
  return static_cast<double>(keeping_) /
         static_cast<double>(std::max<std::size_t>(1, reporters_.size()));
}

void SlotDivider::Clean(TimePoint now) {
  if (now - cleaned_at_ < kCleaningPeriod) return;
  cleaned_at_ = now;
  brittle_.RemoveForgotten(now);
  std::erase_if(upstreams_, [now](const auto& item) {
    return item.second.pool.IsIdle(now);
  });
  std::erase_if(shortages_, [now](const auto& item) {
    return now - item.second.at >= kSharedShortage;
  });
  std::erase_if(reporters_, [&](const auto& item) {
    const bool ended = now - item.second.reported_at > kReporterLifetime;
    if (ended && item.second.keeps_slots) --keeping_;
    return ended;
  });
}

void SlotDivider::OnReport(const std::string& daemon,
                           const UpstreamLimitReports& reports, double fraction,
                           TimePoint now, UpstreamLimitReply* reply) {
  Clean(now);
  RecordReporter(daemon, reports.keeps_slots, now);
  RecordBrittleness(reports, now);
  if (!reports.keeps_slots) return;
  reply->grants_slots = true;
  reply->number = reports.number;
  AddBrittleness(reply, now);
  for (const auto& [id, report] : reports.slots) {
    auto* pool = PoolOf(id, report, now);
    if (pool == nullptr) continue;
    pool->SetFraction(fraction * KeepingFraction());
    if (pool->Record(daemon, report, now)) {
      RecordShortage(report.service, id, now);
    }
    if (now < grants_from_) continue;
    if (HasShortage(report.service, now)) pool->LowerWithService(now);
    const auto slots = pool->Take(daemon, report, now);
    reply->slots[id] = {report.born_ms, slots, pool->IsContested()};
  }
}

}  // namespace firmoor
