#ifndef FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
#define FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_

#include <deque>
#include <optional>

#include "base/time.h"
#include "limits/grant_wait_list.h"
#include "limits/quota_pool.h"

namespace firmoor {

/// Daemon side of a workspace's quota: an allowance that the coordinator renews
/// every second. Without the coordinator, the daemon goes on for some time at
/// the rate that it was granted last: what leaves the window may be admitted
/// again. Later the allowance refills at an equal share of the quota's rate, up
/// to what the daemon was entitled to in the window at its last grant. A daemon
/// that has just started assumes that its previous instance used its share.
/// Performs no I/O.
class QuotaAllowance {
 public:
  /// Limits of a daemon. `share` applies without the coordinator only.
  struct Fallback {
    double share = 0.1;  ///< Fraction of the quota, 0 to 1.
    /// Tokens by which large requests may exceed the allowance.
    double max_overdraft = 0;

    bool operator==(const Fallback&) const = default;
  };

  QuotaAllowance(QuotaLimit limit, Fallback fallback, TimePoint now);

  void SetLimit(QuotaLimit limit, Fallback fallback);

  /// Sets the tokens that all daemons admitted in the window before this daemon
  /// started. Until then they are assumed to match the rate of the quota.
  void SetPriorUsage(double tokens, TimePoint now);

  /// Takes `tokens` and returns empty, or returns the estimated time until
  /// enough tokens are available.
  std::optional<Duration> TakeOrWait(double tokens, TimePoint now);

  /// Returns the usage for the coordinator, in the report `number`. The reply
  /// to it applies from this moment.
  QuotaUsage Report(TimePoint now, ReportNumber number = 0);
  /// Applies the reply to `report`, empty for the last one. Reports may
  /// overlap; a reply to an earlier report than one that was answered is
  /// ignored.
  void OnGrant(const QuotaGrant& grant, TimePoint now,
               std::optional<ReportNumber> report = std::nullopt);
  /// Whether this quota can be omitted from reports: no requests in the window,
  /// and the last grant was zero.
  [[nodiscard]] bool IsIdle(TimePoint now);
  /// Records a reply of the coordinator to a report that omitted this quota.
  void OnOmitted(TimePoint now);

  /// Whether a request was not covered since the last report, or the allowance
  /// has nearly run out and a report may bring enough for another request. The
  /// daemon then reports before the regular time.
  [[nodiscard]] bool NeedsEarlyReport() const { return needs_early_report_; }

  /// Whether the window had room for `tokens` at the last grant, so that a
  /// further report may bring them.
  [[nodiscard]] bool MayBeGranted(double tokens) const;

  /// Tokens left in the allowance; negative if overdrawn.
  [[nodiscard]] double level() const { return level_; }
  [[nodiscard]] Duration GrantAge(TimePoint now) const {
    return now - granted_at_;
  }

 private:
  struct Entry {
    TimePoint at;
    double tokens = 0;
  };
  /// A report that was answered last, or may still be answered.
  struct SentReport {
    ReportNumber number = 0;
    TimePoint at;
    double admitted = 0;      ///< Tokens of the window, as reported.
    double pending = 0;       ///< Tokens refused since the report before.
    double total_before = 0;  ///< Tokens admitted before, since the start.
  };
  /// Sum over the quota's window.
  struct WindowSum {
    std::deque<Entry> entries;
    double sum = 0;

    void Add(double tokens, TimePoint now);
    void Prune(TimePoint oldest);
  };

  /// Finds `report`, empty for the last one, and removes those before it.
  /// Returns empty if a later one was answered.
  std::optional<SentReport> FindSentReport(std::optional<ReportNumber> report);
  /// Tokens admitted since `report`.
  [[nodiscard]] double AdmittedSince(const SentReport& report) const {
    return admitted_total_ - report.total_before;
  }
  /// Refills the allowance for the time without a valid grant.
  void Accrue(TimePoint now);
  /// Estimated time until `tokens` are available.
  [[nodiscard]] Duration WaitFor(double tokens, TimePoint now) const;
  /// Tokens of this daemon's share that may have been admitted in the window
  /// before it started.
  [[nodiscard]] double PriorUsageInWindow(TimePoint now) const;
  /// Tokens that the coordinator holds for this daemon in each window.
  [[nodiscard]] double HeldTokens() const;
  /// Tokens that may be admitted in one window without the coordinator.
  [[nodiscard]] double Entitlement() const;
  /// Whether a report without pending requests may bring enough for one.
  [[nodiscard]] bool MayBeRefilled(double tokens) const;

  QuotaLimit limit_;
  Fallback fallback_;
  double level_ = 0;
  double admitted_total_ = 0;            ///< Tokens, since the start.
  std::deque<SentReport> sent_reports_;  ///< In the order of their numbers.
  /// Admitted tokens in the last report that was answered.
  double admitted_before_grant_ = 0;
  std::optional<QuotaGrant> grant_;
  std::optional<double> prior_usage_;
  double pending_ = 0;  ///< Tokens refused since the last report.
  /// Tokens of the last grant that was not made for pending requests; empty
  /// before the first one.
  std::optional<double> refill_;
  bool needs_early_report_ = false;
  TimePoint started_at_;
  TimePoint granted_at_;
  TimePoint continues_until_;  ///< At the rate that was granted last.
  TimePoint accrued_at_;
  WindowSum admitted_;
  WindowSum requested_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
