#ifndef FIRMOOR_LIMITS_USAGE_LEDGER_H_
#define FIRMOOR_LIMITS_USAGE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace firmoor {

/// Started requests by workspace.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Counts by window. Window k starts k window lengths after the Unix epoch.
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// Counts the requests that started in each window of synchronized time.
/// Performs no I/O.
class UsageLedger {
 public:
  explicit UsageLedger(std::int64_t window_ms);

  /// Counts a request of `workspace` that started at `true_ms`, in Unix ms of
  /// synchronized time.
  void Count(const std::string& workspace, std::int64_t true_ms);

  [[nodiscard]] std::int64_t WindowOf(std::int64_t true_ms) const;
  [[nodiscard]] const UsageByWindow& windows() const { return windows_; }

  /// Drops windows before `window`.
  void DropBefore(std::int64_t window);

 private:
  std::int64_t window_ms_;
  UsageByWindow windows_;
};

/// Sums the counts of all daemons. Each instance of a daemon repeatedly reports
/// its complete counts, so a report replaces the previous one of the same
/// instance, while a restarted daemon adds to the counts of its earlier
/// instances. Performs no I/O.
class UsageTotals {
 public:
  /// Replaces the counts of one instance of a daemon.
  void OnReport(const std::string& instance, const UsageByWindow& windows);

  /// Counts of one window over all instances.
  [[nodiscard]] UsageCounts Sum(std::int64_t window) const;

  /// Counts since `window` of the instances that `is_included`.
  [[nodiscard]] std::map<std::string, UsageByWindow> CountsSince(
      std::int64_t window,
      const std::function<bool(const std::string& instance)>& is_included)
      const;

  void DropBefore(std::int64_t window);

 private:
  std::map<std::int64_t, std::map<std::string, UsageCounts>> by_instance_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_USAGE_LEDGER_H_
