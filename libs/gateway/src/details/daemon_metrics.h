#ifndef FIRMOOR_GATEWAY_DETAILS_DAEMON_METRICS_H_
#define FIRMOOR_GATEWAY_DETAILS_DAEMON_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace firmoor::details {

/// Figures of a daemon that no part of it exposes by itself.
struct DaemonFigures {
  std::int64_t config_version = -1;  ///< -1: none yet.
  std::int64_t config_age_ms = -1;   ///< Since its confirmation; -1: never.
  std::size_t upstreams = 0;
  std::size_t requests_in_work = 0;
  std::size_t connections = 0;  ///< Of callers.
  bool is_coordinator = false;
  std::uint64_t log_dropped = 0;  ///< Lines.
  std::int64_t store_era = 0;
  std::int64_t store_returns = 0;
  std::uint64_t caught_exceptions = 0;

  bool operator==(const DaemonFigures&) const = default;
};

/// In the Prometheus text format.
std::string MetricsText(const DaemonFigures& figures);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DAEMON_METRICS_H_
