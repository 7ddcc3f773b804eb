#ifndef FIRMOOR_BASE_TIME_H_
#define FIRMOOR_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace firmoor {

/// Durations of decisions, in milliseconds.
using Duration = std::chrono::milliseconds;

/// Monotonic time of decisions. Only differences have a meaning, and only
/// inside one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Called by adapters only; decision modules get
/// the time as an argument.
inline TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Milliseconds since the Unix epoch, for records that outlive a process.
inline std::int64_t WallClockMs() {
  return std::chrono::duration_cast<Duration>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_TIME_H_
