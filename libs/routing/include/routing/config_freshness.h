#ifndef FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
#define FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_

#include <optional>

#include "base/time.h"

namespace firmoor {

/// Tracks when the daemon's configuration was last confirmed to be the newest
/// version. A revoked key is rejected everywhere within a bounded time only if
/// daemons without a recent confirmation reject all keys. Performs no I/O.
class ConfigFreshness {
 public:
  /// `bound`: maximum age of the confirmation at which requests that need a
  /// key may be forwarded.
  explicit ConfigFreshness(Duration bound) : bound_(bound) {}

  /// Records that a store query sent at `asked_at` returned the version held
  /// here. The send time counts because the answer may be delayed.
  void Confirm(TimePoint asked_at);

  void SetBound(Duration bound) { bound_ = bound; }
  [[nodiscard]] Duration bound() const { return bound_; }

  [[nodiscard]] bool IsFresh(TimePoint now) const;

  /// Time since the last confirmation; empty before the first one.
  [[nodiscard]] std::optional<Duration> Age(TimePoint now) const;

 private:
  Duration bound_;
  std::optional<TimePoint> confirmed_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
