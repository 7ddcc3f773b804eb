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

/// Settings of one daemon, read once at the start from a TOML file.
struct Settings {
  std::string daemon;             ///< Unique name of this daemon.
  std::string availability_zone;  ///< Where this daemon runs.
  std::string region;             ///< Region of the zone.

  Endpoint callers;           ///< Listens for callers.
  Endpoint observe;           ///< Listens for probes, metrics and status.
  Endpoint operators;         ///< Listens for firmoorctl.
  Endpoint peers;             ///< Listens for other daemons.
  Endpoint peers_advertised;  ///< Where others reach `peers`; the same
                              ///< unless set.

  Endpoint object_api;  ///< The platform's object API.
  Endpoint vm_list;     ///< The platform's VM list.
  Endpoint cloud_api;   ///< The platform's cloud API; port 0 when unused.
  std::vector<Endpoint> seeds;  ///< Peers asked first.

  std::string operator_token_sha256;  ///< Empty when `allow_anonymous`.
  std::string peer_token;             ///< Shared between the daemons.
  bool allow_anonymous = false;       ///< Accepts operators without a token.

  Duration drain_time{20'000};     ///< Longest graceful stop.
  Duration balancer_wait{1'000};   ///< From failing readiness to closing.
  Duration claim_wait{2'000};      ///< Longest wait for the claim store.
  Duration vm_list_period{1'000};  ///< Between two reads of the VM list.
  Duration probe_period{1'000};    ///< Between two membership probes.
  Duration load_period{500};       ///< Between two load reads an upstream.
  std::int64_t claim_slots = 32;   ///< Objects that hold the claims.
  std::int64_t upstreams_per_service = 24;  ///< Subset that is watched.
  std::int64_t region_link_bytes_per_s = 2'000'000;  ///< Cross-region budget.
  std::string routing_strategy = "expected-time";    ///< See docs.
  std::string trace_file;          ///< Decisions are recorded here when set.
  std::string log_level = "info";  ///< debug, info, warn or error.

  bool operator==(const Settings&) const = default;
};

/// Parses and checks settings. Every key is checked for type and range;
/// unknown keys are refused. Errors name `file_name` and the line.
/// Fails with `kInvalidSettings`.
Result<Settings> ParseSettings(std::string_view text,
                               std::string_view file_name);

/// Reads a settings file; also fails with `kUnreadableFile`.
Result<Settings> LoadSettings(const std::string& file_name);

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_SETTINGS_H_
