#ifndef FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
#define FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_

#include <deque>
#include <optional>

#include "base/time.h"
#include "limits/quota_pool.h"

namespace firmoor {

/// What one daemon may let pass of a workspace's quota: an allowance that the
/// coordinator renews each second, and an equal part of the quota's rate while
/// the coordinator is away. Pure.
class QuotaAllowance {
 public:
  /// How a daemon uses a quota without the coordinator.
  struct Fallback {
    double share = 0.1;  ///< Part of the quota, from 0 to 1.
    double debt = 0;     ///< Tokens that may be overdrawn by large requests.

    bool operator==(const Fallback&) const = default;
  };

  QuotaAllowance(QuotaLimit limit, Fallback fallback, TimePoint now);

  void SetLimit(QuotaLimit limit, Fallback fallback);

  /// Takes `tokens`, or tells after which time there may be enough.
  std::optional<Duration> TakeOrWait(double tokens, TimePoint now);

  /// What the coordinator must know; the next grant counts from this moment.
  QuotaUse Report(TimePoint now);
  /// Takes the answer to the last report.
  void OnGrant(double tokens, TimePoint now);

  /// Whether a request was refused, or nearly so, since the last report, so
  /// that it is worth asking for more at once.
  [[nodiscard]] bool IsShort() const { return short_; }

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

  QuotaLimit limit_;
  Fallback fallback_;
  double level_;
  double passed_since_report_ = 0;
  double needed_ = 0;  ///< Refused since the last report.
  bool short_ = false;
  TimePoint granted_at_;
  TimePoint accrued_at_;
  WindowSum passed_;
  WindowSum asked_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_ALLOWANCE_H_
