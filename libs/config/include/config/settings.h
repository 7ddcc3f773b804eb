#ifndef FIRMOOR_CONFIG_SETTINGS_H_
#define FIRMOOR_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Settings of one daemon, read from a TOML file at startup.
struct Settings {
  std::string daemon;             ///< Unique name of this daemon.
  std::string availability_zone;  ///< Availability zone of this daemon.
  std::string region;             ///< Region of the availability zone.

  Endpoint callers;           ///< Listening address for callers.
  Endpoint observe;           ///< For health probes, metrics and status.
  Endpoint operators;         ///< Listening address for firmoorctl.
  Endpoint peers;             ///< Listening address for other daemons.
  Endpoint peers_advertised;  ///< Address at which other daemons reach `peers`;
                              ///< defaults to `peers`.

  Endpoint object_api;  ///< The platform's object API.
  Endpoint vm_list;     ///< The platform's VM list.
  Endpoint cloud_api;   ///< The platform's cloud API; port 0 when unused.
  std::vector<Endpoint> seeds;  ///< Peers to contact at startup.

  std::string operator_token_sha256;  ///< Empty when `allow_anonymous`.
  std::string peer_token;             ///< Shared secret of the daemons.
  bool allow_anonymous = false;       ///< Accepts operators without a token.

  Duration drain_time{20'000};     ///< Maximum time for a graceful shutdown.
  Duration balancer_wait{1'000};   ///< From failing readiness probes to closing
                                   ///< the listening socket.
  Duration claim_wait{2'000};      ///< Timeout of calls to the claim store.
  Duration vm_list_period{1'000};  ///< Polling interval of the VM list.
  Duration probe_period{1'000};    ///< Interval of membership probes.
  Duration load_period{500};       ///< Polling interval of an upstream's load.
  std::int64_t claim_slots = 32;   ///< Number of objects that hold the claims.
  std::int64_t upstreams_per_service = 24;           ///< Watched by a daemon.
  std::int64_t region_link_bytes_per_s = 2'000'000;  ///< Cross-region budget.
  std::string routing_strategy = "expected-time";    ///< See docs.
  std::string trace_file;          ///< Decisions are recorded here if set.
  std::string log_level = "info";  ///< debug, info, warn or error.

  bool operator==(const Settings&) const = default;
};

/// Parses and validates settings. Checks the type and range of every key and
/// rejects unknown keys. Errors name `file_name` and the line.
/// Fails with `kInvalidSettings`.
Result<Settings> ParseSettings(std::string_view text,
                               std::string_view file_name);

/// Reads a settings file; also fails with `kUnreadableFile`.
Result<Settings> LoadSettings(const std::string& file_name);

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_SETTINGS_H_
