#ifndef FIRMOOR_GATEWAY_TRUE_TIME_H_
#define FIRMOOR_GATEWAY_TRUE_TIME_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Estimate of the true time of day. A VM's clock may jump by seconds, so the
/// time is kept as an offset to the monotonic clock, and the offset is the
/// median of what several daemons read. Pure.
class TrueTime {
 public:
  /// Starts from the daemon's own clock.
  TrueTime(std::int64_t wall_ms, TimePoint now);

  /// Milliseconds since 1970.
  [[nodiscard]] std::int64_t At(TimePoint now) const;

  /// Takes the estimate of the daemon that compares the clocks.
  void SetTime(std::int64_t true_ms, TimePoint now);

  /// Takes what another daemon's clock reads, and corrects the estimate to
  /// the median of all.
  void AddClockReading(const std::string& daemon, std::int64_t wall_ms,
                       TimePoint now);

 private:
  std::int64_t offset_ms_;  ///< True time less monotonic time.
  std::map<std::string, std::int64_t> offsets_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TRUE_TIME_H_
