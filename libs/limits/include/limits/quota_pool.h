#ifndef FIRMOOR_LIMITS_QUOTA_POOL_H_
#define FIRMOOR_LIMITS_QUOTA_POOL_H_

#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// A workspace's quota over all daemons: in any span of `window`, the tokens
/// of `rate_per_s` and one `burst` more.
struct QuotaLimit {
  double rate_per_s = 0;  ///< 0: no quota.
  double burst = 0;
  Duration window{8'000};

  /// Tokens that may pass in one window.
  [[nodiscard]] double PerWindow() const;

  bool operator==(const QuotaLimit&) const = default;
};

/// What one daemon did with one quota in the last window.
struct QuotaUse {
  double passed = 0;  ///< Tokens let pass.
  double asked = 0;   ///< Tokens asked for, passed or refused.
  double needed = 0;  ///< Tokens that callers wait for now.

  bool operator==(const QuotaUse&) const = default;
};

/// The coordinator's side of one workspace's quota: hands out what the window
/// has left, after what all daemons passed and what they may still pass of
/// their allowances. Everything follows from the daemons' reports, so another
/// daemon can take over at any time. Pure.
class QuotaPool {
 public:
  /// The tokens that `daemon` may let pass from the moment of its report;
  /// negative when the quota is overdrawn.
  double Grant(const std::string& daemon, const QuotaUse& use,
               const QuotaLimit& limit, TimePoint now);

 private:
  struct Holder {
    double passed = 0;
    double allowance = 0;
    TimePoint at;
  };

  std::map<std::string, Holder> holders_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_POOL_H_
