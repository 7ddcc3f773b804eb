#ifndef FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
#define FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_

#include <deque>
#include <optional>

#include "base/time.h"
#include "limits/quota_pool.h"

namespace firmoor {

/// What one daemon may let pass of a workspace's quota: an allowance that the
/// coordinator renews each second. While the coordinator is away, an equal part
/// of the quota's rate, up to what the daemon had of the window when it was
/// last heard. A daemon that just started takes its earlier life to have used
/// its part. Pure.
class QuotaAllowance {
 public:
  /// How a daemon uses a quota without the coordinator.
  struct Fallback {
    double share = 0.1;  ///< Part of the quota, from 0 to 1.
    double max_overdraft =
        0;  ///< Tokens that may be overdrawn by large requests.

    bool operator==(const Fallback&) const = default;
  };

  QuotaAllowance(QuotaLimit limit, Fallback fallback, TimePoint now);

  void SetLimit(QuotaLimit limit, Fallback fallback);

  /// Tells a daemon that just started how many tokens all daemons had let pass
  /// in the window before; until then they count as an even stream.
  void SetPriorUsage(double tokens, TimePoint now);

  /// Takes `tokens`, or tells after which time there may be enough.
  std::optional<Duration> TakeOrWait(double tokens, TimePoint now);

  /// What the coordinator must know; the next grant counts from this moment.
  QuotaUsage Report(TimePoint now);
  /// Takes the answer to the last report.
  void OnGrant(const QuotaGrant& grant, TimePoint now);
  /// Whether the coordinator need not hear of this quota: it was not requested
  /// in the window, and the last grant was nothing.
  [[nodiscard]] bool IsIdle(TimePoint now);
  /// The coordinator answered a report that left this quota out.
  void OnOmitted(TimePoint now);

  /// Whether a request was refused, or nearly so, since the last report, so
  /// that it is worth asking for more at once.
  [[nodiscard]] bool NeedsEarlyReport() const { return needs_early_report_; }

  /// Tokens left of the allowance; negative when overdrawn.
  [[nodiscard]] double level() const { return level_; }
  [[nodiscard]] Duration GrantAge(TimePoint now) const {
    return now - granted_at_;
  }

 private:
  struct Entry {
    TimePoint at;
    double tokens = 0;
  };
  /// Sum over the quota's window.
  struct WindowSum {
    std::deque<Entry> entries;
    double sum = 0;

    void Add(double tokens, TimePoint now);
    void Prune(TimePoint oldest);
  };

  void Accrue(TimePoint now);
  /// After which time `tokens` may be had.
  [[nodiscard]] Duration WaitFor(double tokens, TimePoint now) const;
  /// Tokens of this daemon's part that may have admitted before it started.
  [[nodiscard]] double PriorUsageInWindow(TimePoint now) const;
  /// Tokens that may pass in one window without the coordinator.
  [[nodiscard]] double Entitlement() const;

  QuotaLimit limit_;
  Fallback fallback_;
  double level_ = 0;
  double admitted_since_report_ = 0;
  double reported_admitted_ = 0;  ///< What the last report said has admitted.
  double admitted_before_grant_ =
      0;  ///< The same of the last one that was answered.
  std::optional<QuotaGrant> grant_;
  std::optional<double> prior_usage_;
  double pending_ = 0;  ///< Refused since the last report.
  bool needs_early_report_ = false;
  TimePoint started_at_;
  TimePoint granted_at_;
  TimePoint accrued_at_;
  WindowSum admitted_;
  WindowSum requested_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
