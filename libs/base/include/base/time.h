#ifndef FIRMOOR_BASE_TIME_H_
#define FIRMOOR_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace firmoor {

/// Durations of decisions, in milliseconds.
using Duration = std::chrono::milliseconds;

/// Monotonic time of decisions, which also counts while the VM is suspended.
/// Only differences have a meaning, and only inside one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the boot-time clock: leases and ages of beliefs must not stand still
/// with a suspended VM. Called by adapters only; decision modules get the time
/// as an argument.
inline TimePoint MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

/// Milliseconds since the Unix epoch, for records that outlive a process.
inline std::int64_t WallClockMs() {
  return std::chrono::duration_cast<Duration>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_TIME_H_
