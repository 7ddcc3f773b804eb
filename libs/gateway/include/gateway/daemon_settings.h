#ifndef FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_
#define FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "gateway/strategies.h"
#include "http/message.h"
#include "rollout/rollout_guard.h"

namespace firmoor {

/// Settings of a gateway daemon, read from a TOML file.
struct GatewayDaemonSettings {
  std::string daemon;                          ///< Unique name of this daemon.
  std::string availability_zone;               ///< Zone of this daemon.
  std::map<std::string, std::string> regions;  ///< By availability zone.

  Endpoint callers;  ///< Listen address for callers.
  Endpoint ready;    ///< Listen address for readiness probes.
  Endpoint peers;    ///< Listen address for other daemons.
  Endpoint metrics;  ///< Listen address for metrics scrapes.

  /// CPU cores of this VM; daemons with more cores are preferred as the
  /// coordinator.
  double cores = 1;
  /// Memory of this VM, in MB. Bounds what callers may make the daemon hold.
  double memory_mb = 160;

  Endpoint object_api;  ///< The platform's store.
  Endpoint cloud_api;   ///< The platform's cloud API; port 0 when unused.

  /// Whether the whole system starts for the first time, so that there has been
  /// no coordinator yet. Not from the file: it differs between two starts.
  bool is_first_start = false;

  bool reports_usage = false;     ///< The coordinator reports usage.
  bool orders_upstreams = false;  ///< The coordinator orders upstreams.

  /// Time after which a revoked API key must be rejected.
  Duration key_revocation{5'000};
  Duration drain_time{8'000};  ///< From the stop signal to the forced end.
  /// Time for which a leaving upstream still accepts requests.
  Duration upstream_drain_time{2'500};
  Duration lease{3'000};  ///< Lifetime of the coordinator's lease.
  Duration usage_window{5'000};
  double retry_ratio = 0.2;      ///< Retries per request, over all daemons.
  double retry_burst = 50;       ///< Retries saved up by all daemons together.
  Duration quota_window{8'000};  ///< Period over which a quota is enforced.
  /// Tokens by which all daemons together may exceed a workspace's quota.
  double quota_slack = 0;
  RolloutSettings rollouts;  ///< Enabled if the file has the section.
  Strategies strategies;

  bool operator==(const GatewayDaemonSettings&) const = default;
};

/// Parses settings and checks the type and range of every key; unknown keys are
/// errors. Error messages contain `file_name` and the line. Fails with
/// `kInvalidSettings`.
Result<GatewayDaemonSettings> ParseGatewayDaemonSettings(
    std::string_view text, std::string_view file_name);

/// Loads a settings file; also fails with `kUnreadableFile`.
Result<GatewayDaemonSettings> LoadGatewayDaemonSettings(
    const std::string& file_name);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DAEMON_SETTINGS_H_
