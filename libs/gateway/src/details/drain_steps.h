#ifndef FIRMOOR_GATEWAY_DETAILS_DRAIN_STEPS_H_
#define FIRMOOR_GATEWAY_DETAILS_DRAIN_STEPS_H_

#include <cstddef>

#include "base/time.h"

namespace firmoor::details {

/// The process stops this long before it would be killed.
constexpr Duration kStopMargin{700};
/// How often a draining daemon decides what to do next.
constexpr Duration kDrainCheckInterval{100};

/// What a draining daemon does next.
enum class DrainStep {
  kServe,          ///< Goes on with what it has and what arrives.
  kCloseListener,  ///< Accepts no caller any more and serves those it has.
  kStop,           ///< Ends what is left, and the process.
};

/// How far a daemon is that drains.
struct DrainProgress {
  Duration elapsed{0};          ///< Since the order to stop.
  Duration time{0};             ///< From the order until the process is killed.
  std::size_t requests = 0;     ///< In work.
  std::size_t connections = 0;  ///< Of callers.
  bool is_listener_closed = false;
  /// A complete response to another daemon is not wholly sent.
  bool has_unsent_response = false;
  /// It coordinates and may hand that over, or its hand-over is in flight.
  bool has_to_hand_over = false;

  bool operator==(const DrainProgress&) const = default;
};

/// A daemon that has nothing left stops early, but closes its listener first:
/// callers may still connect until then. What other daemons wait for does not
/// keep the listener open. Performs no I/O.
DrainStep NextDrainStep(const DrainProgress& progress);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DRAIN_STEPS_H_
