#ifndef FIRMOOR_GATEWAY_TRUE_TIME_H_
#define FIRMOOR_GATEWAY_TRUE_TIME_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Estimate of the true time. A VM's wall clock may jump by seconds, so the
/// time is kept as an offset to the monotonic clock, and the coordinator takes
/// the median of the offsets of all daemons' wall clocks.
///
/// Performs no I/O and reads no clock.
class TrueTime {
 public:
  /// Starts from the daemon's own wall clock.
  TrueTime(std::int64_t wall_ms, TimePoint now);

  /// Unix time in milliseconds.
  [[nodiscard]] std::int64_t At(TimePoint now) const;

  /// Adopts the coordinator's estimate.
  void SetTime(std::int64_t true_ms, TimePoint now);

  /// Records the wall clock of a daemon and sets the estimate to the median of
  /// all daemons.
  void AddClockReading(const std::string& daemon, std::int64_t wall_ms,
                       TimePoint now);

 private:
  std::int64_t offset_ms_;  ///< True time minus monotonic time.
  std::map<std::string, std::int64_t> offsets_;  ///< By daemon.
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TRUE_TIME_H_
