#ifndef FIRMOOR_LIMITS_PERMIT_POOL_H_
#define FIRMOOR_LIMITS_PERMIT_POOL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace firmoor {

/// Coordinator side of one upstream's rate limit. A token bucket that fills at
/// the announced rate is handed out as permits for single requests, in
/// proportion to what the daemons want to send. Permits count as used once they
/// are granted, unless the daemon returns them, so a daemon that is not heard
/// of again cannot cause an excess.
///
/// When the rate is below the number of daemons, permits go round: those that
/// got less than their part of the rate are served first. The cost of a grant
/// does not depend on the number of daemons. Performs no I/O.
class PermitPool {
 public:
  /// A daemon's part of a report.
  struct Demand {
    double wanted_per_s = 0;    ///< Requests that it would like to send.
    std::int64_t waiting = 0;   ///< Requests that wait for a permit.
    std::int64_t returned = 0;  ///< Unused permits of its last grant.
  };
  struct Grant {
    std::int64_t permits = 0;
    Duration next_in{0};    ///< Estimated time until another permit.
    double rate_per_s = 0;  ///< The daemon's part of the rate.

    bool operator==(const Grant&) const = default;
  };

  /// Starts empty; fills from `starts_at` on.
  PermitPool(double rate_per_s, TimePoint starts_at);

  void SetRate(double rate_per_s, TimePoint now);
  /// Sets the fraction of the rate that is handed out; the rest is left to
  /// daemons that do not report and keep to their share by themselves.
  void SetFraction(double fraction, TimePoint now);

  Grant Take(const std::string& daemon, const Demand& demand, TimePoint now);

 private:
  /// What one daemon wants and has got.
  struct Claim {
    double wanted_per_s = 0;
    std::int64_t granted = 0;  ///< By the last grant.
    /// Its part of the rate since it began to ask, less what it was granted.
    double credit = 0;
    TimePoint reported_at;
  };

  [[nodiscard]] double Rate() const { return rate_per_s_ * fraction_; }
  [[nodiscard]] double Depth() const;
  void Fill(TimePoint now);
  void RemoveExpired(TimePoint now);
  /// Removes the claim from the pool and returns it; a new one if there is
  /// none.
  Claim Extract(const std::string& daemon, TimePoint now);
  void Insert(const std::string& daemon, const Claim& claim);
  /// Whether the daemon will most likely use permits before they expire.
  [[nodiscard]] static bool IsSteady(const Claim& claim);
  /// Whether fewer steady claims are ahead than there are permits.
  [[nodiscard]] bool IsNext(double credit) const;
  [[nodiscard]] std::int64_t PermitsFor(const Claim& claim, double part,
                                        std::int64_t waiting) const;

  double rate_per_s_;
  double fraction_ = 1;
  double level_ = 0;
  TimePoint filled_at_;
  std::map<std::string, Claim> claims_;                 ///< By daemon.
  std::set<std::pair<double, std::string>> by_credit_;  ///< Steady ones.
  std::set<std::pair<TimePoint, std::string>> by_age_;  ///< Oldest first.
  double wanted_per_s_ = 0;                             ///< Sum of all claims.
  double steady_per_s_ = 0;  ///< Sum of the steady ones.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_PERMIT_POOL_H_
