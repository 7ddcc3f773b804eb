#ifndef FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
#define FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_

#include <cstdint>
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

  /// As `Confirm`, while `version` is held here. A version that another daemon
  /// knows to be older confirms nothing. When the store still shows it to a
  /// query that was sent well after that was heard, the store has returned from
  /// an older copy, and what it has confirmed since is withdrawn.
  void ConfirmVersion(std::int64_t version, TimePoint asked_at);

  /// Another daemon knows `version`, as heard at `now`.
  void OnVersionTold(std::int64_t version, TimePoint now);

  /// The store has returned from an older copy. Call before `Confirm` with
  /// anything read since.
  void OnStoreReturn() { confirmed_before_return_ = confirmed_; }

  void SetBound(Duration bound) { bound_ = bound; }
  [[nodiscard]] Duration bound() const { return bound_; }

  [[nodiscard]] bool IsFresh(TimePoint now) const;

  /// Time since the last confirmation; empty before the first one.
  [[nodiscard]] std::optional<Duration> Age(TimePoint now) const;

 private:
  Duration bound_;
  std::optional<TimePoint> confirmed_;
  std::optional<TimePoint> confirmed_before_return_;  ///< The store's latest.
  std::int64_t told_version_ = -1;  ///< Newest that another daemon knows.
  TimePoint told_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_CONFIG_FRESHNESS_H_
