#include "admission/fleet_shortage.h"

namespace firmoor {
namespace {

// Daemons report once a second, so that a period holds one report of each.
constexpr Duration kPeriod{1'000};

}  // namespace

FleetShortage::FleetShortage(TimePoint started_at)
    : period_began_at_(started_at) {}

ShortageReply FleetShortage::OnReport(const ShortageReport& report,
                                      const WorkspaceWeight& weight_of,
                                      TimePoint now) {
  for (const auto& [service, demand] : report.services) {
    levels_[service].Add(demand);
  }
  if (now - period_began_at_ < kPeriod) return reply_;
  period_began_at_ = now;
  reply_ = {};
  reply_.is_known = true;
  for (auto& [service, level] : levels_) {
    level.EndPeriod(weight_of);
    if (level.shares()) reply_.services[service] = *level.shares();
  }
  std::erase_if(levels_,
                [](const auto& entry) { return entry.second.IsIdle(); });
  return reply_;
}

}  // namespace firmoor
