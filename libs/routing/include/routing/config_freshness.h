#ifndef FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
#define FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_

#include <optional>

#include "base/time.h"

namespace firmoor {

/// How old the daemon's proof is that its configuration is the newest one. A
/// key that was taken away is refused everywhere in a bounded time only if
/// daemons without a recent proof refuse all keys. Pure.
class ConfigFreshness {
 public:
  /// `bound`: oldest proof under which requests with a key may be sent on.
  explicit ConfigFreshness(Duration bound) : bound_(bound) {}

  /// The store was asked at `asked_at` and the configuration held was still
  /// the newest one. The time of asking counts: the answer may be late.
  void Confirm(TimePoint asked_at);

  void SetBound(Duration bound) { bound_ = bound; }
  [[nodiscard]] Duration bound() const { return bound_; }

  [[nodiscard]] bool IsFresh(TimePoint now) const;

  /// Age of the proof; none before the first.
  [[nodiscard]] std::optional<Duration> Age(TimePoint now) const;

 private:
  Duration bound_;
  std::optional<TimePoint> confirmed_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
