#ifndef FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_
#define FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "gateway/strategies.h"
#include "http/message.h"

namespace firmoor {

/// Settings of a daemon that forwards requests, from a TOML file.
struct GatewayDaemonSettings {
  std::string daemon;                          ///< Unique name of this daemon.
  std::string availability_zone;               ///< Where it runs.
  std::map<std::string, std::string> regions;  ///< By availability zone.

  Endpoint callers;  ///< Listens for callers.
  Endpoint ready;    ///< Listens for readiness probes.
  Endpoint peers;    ///< Listens for other daemons.
  Endpoint metrics;  ///< Listens for metrics.

  /// Part of a processor core that this VM has; the coordinator is rather one
  /// of the stronger ones.
  double cores = 1;

  Endpoint object_api;  ///< The platform's store.
  Endpoint cloud_api;   ///< The platform's cloud API; port 0 when unused.

  bool reports_usage = false;     ///< Usage is a duty here.
  bool orders_upstreams = false;  ///< So are orders of upstreams.

  /// A key that was taken away must not work any more after this time.
  Duration key_revocation{5'000};
  Duration drain_time{8'000};  ///< From the stop signal to the forced end.
  /// For how long an upstream that leaves still takes work.
  Duration upstream_drain_time{2'500};
  Duration lease{3'000};  ///< Of the coordinator.
  Duration usage_window{5'000};
  double retry_ratio = 0.2;  ///< Repeats for each request, over all daemons.
  double retry_burst = 50;   ///< Repeats that may be saved for bursts.
  Duration quota_window{8'000};  ///< Span in which a quota holds.
  double quota_slack = 0;        ///< Tokens over a quota that do no harm.
  Strategies strategies;

  bool operator==(const GatewayDaemonSettings&) const = default;
};

/// Parses and checks settings: every key for type and range, unknown keys are
/// refused. Errors name `file_name` and the line. Fails with
/// `kInvalidSettings`.
Result<GatewayDaemonSettings> ParseGatewayDaemonSettings(
    std::string_view text, std::string_view file_name);

/// Reads a settings file; also fails with `kUnreadableFile`.
Result<GatewayDaemonSettings> LoadGatewayDaemonSettings(
    const std::string& file_name);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_
