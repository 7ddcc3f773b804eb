#ifndef FIRMOOR_GATEWAY_DETAILS_GATEWAY_SETTINGS_H_
#define FIRMOOR_GATEWAY_DETAILS_GATEWAY_SETTINGS_H_

#include <string>

#include "gateway/daemon_settings.h"
#include "gateway/gateway.h"
#include "http/http_server.h"
#include "routing/route_table.h"

namespace firmoor::details {

/// What the gateway of a daemon needs of the daemon's settings.
GatewaySettings GatewaySettingsOf(const GatewayDaemonSettings& settings);

/// What the server for callers needs of the configuration's limits.
HttpServerLimits ServerLimitsOf(const CallerLimits& limits,
                                Duration idle_timeout, std::size_t connections);

/// Longest time since its last contact with the store for which a daemon is
/// used as a source of changes of upstreams.
Duration MaxSourceStaleness(const GatewayDaemonSettings& settings);

/// Copies the times and limits that a running daemon may change.
void CopyReloadableSettings(const GatewayDaemonSettings& from,
                            GatewayDaemonSettings* to);

/// Region of the daemon's availability zone; the zone itself if its region is
/// not known.
std::string RegionOf(const GatewayDaemonSettings& settings);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_GATEWAY_SETTINGS_H_
