#ifndef FIRMOOR_FIRMOORD_DRAIN_STEP_H_
#define FIRMOOR_FIRMOORD_DRAIN_STEP_H_

#include <cstddef>

#include "base/time.h"

namespace firmoor {

/// What a draining daemon whose listener is closed does next.
enum class DrainStep {
  kServe,      ///< Goes on with what it has and what arrives.
  kCloseIdle,  ///< Closes connections without a request.
  kFinish,     ///< Ends what is left, and the process.
};

/// How far such a daemon is.
struct DrainProgress {
  Duration since_listener_closed{0};
  Duration time_left{0};        ///< Until requests must end.
  bool has_work = false;        ///< Requests, offers or unrecorded outcomes.
  std::size_t connections = 0;  ///< Of callers.

  bool operator==(const DrainProgress&) const = default;
};

/// A connection without a request may get one as long as the daemon has other
/// work, and for a second at least. Performs no I/O.
DrainStep NextDrainStep(const DrainProgress& progress);

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_DRAIN_STEP_H_
