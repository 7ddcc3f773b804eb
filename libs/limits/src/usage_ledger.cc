#include "limits/usage_ledger.h"

#include "base/invariant.h"

namespace firmoor {

UsageLedger::UsageLedger(std::int64_t window_ms) : window_ms_(window_ms) {
  FIRMOOR_PRECONDITION(window_ms > 0, "the window length is positive");
}

std::int64_t UsageLedger::WindowOf(std::int64_t true_ms) const {
  return true_ms / window_ms_;
}

void UsageLedger::Count(const std::string& workspace, std::int64_t true_ms) {
  ++windows_[WindowOf(true_ms)][workspace];
}

void UsageLedger::DropBefore(std::int64_t window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

void UsageTotals::OnReport(const std::string& instance,
                           const UsageByWindow& windows) {
  for (const auto& [window, counts] : windows) {
    by_instance_[window][instance] = counts;
  }
}

UsageCounts UsageTotals::Sum(std::int64_t window) const {
  UsageCounts total;
  const auto found = by_instance_.find(window);
  if (found == by_instance_.end()) return total;
  for (const auto& [instance, counts] : found->second) {
    for (const auto& [workspace, count] : counts) total[workspace] += count;
  }
  return total;
}

std::map<std::string, UsageByWindow> UsageTotals::CountsSince(
    std::int64_t window,
    const std::function<bool(const std::string& instance)>& is_included) const {
  std::map<std::string, UsageByWindow> counts;
  for (auto found = by_instance_.lower_bound(window);
       found != by_instance_.end(); ++found) {
    for (const auto& [instance, sums] : found->second) {
      if (is_included(instance)) counts[instance][found->first] = sums;
    }
  }
  return counts;
}

void UsageTotals::DropBefore(std::int64_t window) {
  by_instance_.erase(by_instance_.begin(), by_instance_.lower_bound(window));
}

}  // namespace firmoor
