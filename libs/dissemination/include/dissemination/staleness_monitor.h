#ifndef FIRMOOR_DISSEMINATION_STALENESS_MONITOR_H_
#define FIRMOOR_DISSEMINATION_STALENESS_MONITOR_H_

#include <optional>

#include "base/time.h"

namespace firmoor {

/// Decides when a daemon that reads changes from other daemons asks the store
/// itself, beside its waiting calls: once what it knows is older than a limit,
/// whatever delays its sources. Performs no I/O.
class StalenessMonitor {
 public:
  /// `max_age`: of the last contact with the store, direct or through others.
  explicit StalenessMonitor(Duration max_age);

  /// Whether to ask now, which counts as done. `age`: of the last contact; none
  /// before the first one, which others wait for. Repeats after a backoff until
  /// the age is below the limit again.
  bool TakeDue(std::optional<Duration> age, TimePoint now);

 private:
  Duration max_age_;
  Duration backoff_;
  std::optional<TimePoint> asked_at_;  ///< Since the limit was exceeded.
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_STALENESS_MONITOR_H_
