#ifndef FIRMOOR_BASE_TIME_H_
#define FIRMOOR_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace firmoor {

/// Duration in milliseconds, as decision modules use it.
using Duration = std::chrono::milliseconds;

/// Monotonic time that also advances while the VM is suspended. Only
/// differences within one process are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline double SecondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Rounds towards zero.
inline Duration DurationOfSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// The same in microseconds, to tell what follows within a millisecond.
using PreciseDuration = std::chrono::microseconds;
using PreciseTimePoint =
    std::chrono::time_point<std::chrono::steady_clock, PreciseDuration>;

/// Reads CLOCK_BOOTTIME, because leases and the ages of cached state must
/// advance while the VM is suspended. Called by adapters only; decision modules
/// get the time as an argument.
inline PreciseTimePoint PreciseNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return PreciseTimePoint(
      std::chrono::duration_cast<PreciseDuration>(since_boot));
}

/// The same in milliseconds.
inline TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(PreciseNow());
}

/// Milliseconds since the Unix epoch, for records that outlive a process.
inline std::int64_t WallClockMs() {
  return std::chrono::duration_cast<Duration>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_TIME_H_
