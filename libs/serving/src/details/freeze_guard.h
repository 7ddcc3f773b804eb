#ifndef FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_
#define FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_

#include "base/time.h"

namespace firmoor::details {

/// Decides whether deadlines may be checked in this iteration of the event
/// loop. When a suspended process resumes, all deadlines have passed before it
/// has read the data that arrived at its sockets in the meantime; the first
/// iteration after such a gap therefore checks none. Reads no clock; not
/// thread-safe.
///
///     if (guard.MayCheckDeadlines(now)) job->CheckDeadline(now);
class FreezeGuard {
 public:
  /// Iterations further apart than this mean that the process was suspended.
  static constexpr Duration kFreezeThreshold{500};

  /// `started_at`: when the first iteration is waited for.
  explicit FreezeGuard(TimePoint started_at) : last_iteration_(started_at) {}

  /// Call once per iteration with the current time.
  bool MayCheckDeadlines(TimePoint now) {
    const bool was_frozen = now - last_iteration_ > kFreezeThreshold;
    last_iteration_ = now;
    return !was_frozen;
  }

 private:
  TimePoint last_iteration_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_
