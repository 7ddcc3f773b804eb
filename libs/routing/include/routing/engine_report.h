#ifndef FIRMOOR_ROUTING_ENGINE_REPORT_H_
#define FIRMOOR_ROUTING_ENGINE_REPORT_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace firmoor {

/// Requests at an engine, of all daemons together.
struct EngineLoad {
  std::int64_t running = 0;  ///< In its batch.
  std::int64_t waiting = 0;  ///< In its queue.

  bool operator==(const EngineLoad&) const = default;
};

/// What an engine says of itself, as it was some hundred ms ago.
struct EngineReport {
  std::optional<EngineLoad> load;  ///< None when it does not tell.
  /// How long it time_to_shutdown, when it is about to end and knows.
  std::optional<Duration> time_to_shutdown;

  bool operator==(const EngineReport&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ENGINE_REPORT_H_
