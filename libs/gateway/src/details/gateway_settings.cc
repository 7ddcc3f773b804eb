#include "details/gateway_settings.h"

#include <algorithm>

namespace firmoor::details {
namespace {

// A watch of the store may miss changes for a second before it is disconnected,
// and a request takes some time to reach its upstream.
constexpr Duration kFreshnessMargin{1'300};
// Time that a request may take from the choice of its upstream to its arrival.
constexpr Duration kSendMargin{500};
// Lower limit of the time for receiving a request, since callers may send a
// long body over a slow link.
constexpr Duration kMinRequestTimeout{10'000};

}  // namespace

GatewaySettings GatewaySettingsOf(const GatewayDaemonSettings& settings) {
  GatewaySettings gateway;
  gateway.daemon = settings.daemon;
  gateway.location = {settings.availability_zone, settings.regions};
  gateway.freshness_bound = std::max(settings.key_revocation - kFreshnessMargin,
                                     settings.key_revocation / 2);
  gateway.retry_ratio = settings.retry_ratio;
  gateway.retry_burst = settings.retry_burst;
  gateway.quota_window = settings.quota_window;
  gateway.quota_slack = settings.quota_slack;
  gateway.max_removal_delay = settings.upstream_drain_time - kSendMargin;
  gateway.usage_window_ms = settings.usage_window.count();
  gateway.rollouts = settings.rollouts;
  gateway.rollouts.enabled &= settings.strategies.rollouts;
  gateway.strategies = settings.strategies;
  return gateway;
}

HttpServerLimits ServerLimitsOf(const CallerLimits& limits,
                                Duration idle_timeout,
                                std::size_t connections) {
  HttpServerLimits server;
  server.header_bytes = limits.header_bytes;
  server.body_bytes = limits.body_bytes;
  server.request_timeout = std::max(limits.header_time, kMinRequestTimeout);
  server.idle_timeout = idle_timeout;
  server.connections = connections;
  return server;
}

Duration MaxSourceStaleness(const GatewayDaemonSettings& settings) {
  // The rest of the drain time is left for switching to another source.
  constexpr int kDrainTimeDivisor = 2;
  return settings.upstream_drain_time / kDrainTimeDivisor;
}

void CopyReloadableSettings(const GatewayDaemonSettings& from,
                            GatewayDaemonSettings* to) {
  to->drain_time = from.drain_time;
  to->retry_ratio = from.retry_ratio;
  to->retry_burst = from.retry_burst;
  to->quota_slack = from.quota_slack;
  to->key_revocation = from.key_revocation;
}

std::string RegionOf(const GatewayDaemonSettings& settings) {
  const auto region = settings.regions.find(settings.availability_zone);
  return region == settings.regions.end() ? settings.availability_zone
                                          : region->second;
}

}  // namespace firmoor::details
