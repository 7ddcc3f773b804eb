#ifndef FIRMOOR_LIMITS_USAGE_LEDGER_H_
#define FIRMOOR_LIMITS_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

namespace firmoor {

/// Requests that began to run, by workspace.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Counts by window: window k begins k window lengths after 1970.
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// Counts the requests that began to run in each window of true time. Pure.
class UsageLedger {
 public:
  explicit UsageLedger(std::int64_t window_ms);

  /// A request of `workspace` began to run at `true_ms` since 1970.
  void Count(const std::string& workspace, std::int64_t true_ms);

  [[nodiscard]] std::int64_t WindowOf(std::int64_t true_ms) const;
  [[nodiscard]] const UsageByWindow& windows() const { return windows_; }

  /// Drops windows before `window`.
  void DropBefore(std::int64_t window);

 private:
  std::int64_t window_ms_;
  UsageByWindow windows_;
};

/// Adds up what the daemons counted. Each instance of a daemon reports its
/// whole counts again and again, so the newest report replaces the one before,
/// and a daemon that restarts adds to what its former instance counted. Pure.
class UsageTotals {
 public:
  /// Takes the counts of one instance of a daemon.
  void OnReport(const std::string& instance, const UsageByWindow& windows);

  /// Sum of one window.
  [[nodiscard]] UsageCounts Sum(std::int64_t window) const;

  void DropBefore(std::int64_t window);

 private:
  std::map<std::int64_t, std::map<std::string, UsageCounts>> by_instance_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_USAGE_LEDGER_H_
