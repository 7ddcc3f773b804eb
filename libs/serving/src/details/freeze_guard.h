#ifndef FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_
#define FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_

#include <optional>

#include "base/time.h"

namespace firmoor::details {

/// Tells whether deadlines may be judged in this turn of the event loop. A
/// process that was frozen and woken finds every deadline past before it has
/// read what arrived at its sockets meanwhile; the first turn after such a
/// gap therefore judges none. Pure; not thread-safe.
///
///     if (guard.MayCheckDeadlines(now)) job->CheckDeadline(now);
class FreezeGuard {
 public:
  /// A distance of two turns that only a frozen process shows.
  static constexpr Duration kFreezeThreshold{500};

  /// To be called once in each turn with the present time.
  bool MayCheckDeadlines(TimePoint now) {
    const bool was_frozen =
        last_iteration_ && now - *last_iteration_ > kFreezeThreshold;
    last_iteration_ = now;
    return !was_frozen;
  }

 private:
  std::optional<TimePoint> last_iteration_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_FREEZE_GUARD_H_
