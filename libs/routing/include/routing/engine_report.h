#ifndef FIRMOOR_ROUTING_ENGINE_REPORT_H_
#define FIRMOOR_ROUTING_ENGINE_REPORT_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace firmoor {

/// Requests at an engine from all daemons.
struct EngineLoad {
  std::int64_t running = 0;  ///< In its batch.
  std::int64_t waiting = 0;  ///< In its queue.

  bool operator==(const EngineLoad&) const = default;
};

/// Status report of an engine. It lags the engine by a few hundred ms.
struct EngineReport {
  std::optional<EngineLoad> load;  ///< Empty if not reported.
  /// Remaining time before a known shutdown.
  std::optional<Duration> time_to_shutdown;
  /// When the instance was born, Unix time in ms; empty if not reported.
  std::optional<std::int64_t> born_ms;

  bool operator==(const EngineReport&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_ENGINE_REPORT_H_
