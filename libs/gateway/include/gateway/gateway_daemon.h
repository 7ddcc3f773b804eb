#ifndef FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_
#define FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_

#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>

#include "gateway/cloud_api.h"
#include "gateway/daemon_settings.h"
#include "gateway/dialect.h"
#include "gateway/rollout_status_store.h"
#include "platform/kind_store.h"
#include "platform/object_store.h"
#include "platform/store_era.h"

namespace firmoor {

class EventLog;

/// The daemon that forwards requests by routes: watches the configuration and
/// the upstreams in the platform's store, serves callers, takes part in the
/// coordination of daemons, and shuts down gracefully. Runs in the event loop.
class GatewayDaemon {
 public:
  /// Adapters to the platform; all must outlive the daemon.
  struct PlatformPorts {
    const Dialect* dialect = nullptr;
    KindStore* kinds = nullptr;
    ObjectStore* objects = nullptr;
    StoreEra* store_era = nullptr;  ///< Of `kinds` and `objects`.
    CloudApi* cloud = nullptr;
    RolloutStatusStore* rollouts = nullptr;
    std::string configuration_kind;  ///< Kind of the configuration's object.
    std::string configuration_name;
    std::string upstream_kind;  ///< Kind of the upstream entries.
    std::string rollout_kind;   ///< Kind of the roll-out orders.
    Result<RouteTableContent> (*decode_configuration)(const QJsonObject&);
    Result<UpstreamEntry> (*decode_upstream)(const std::string& id,
                                             const QJsonObject&);
    Result<RolloutOrder> (*decode_rollout)(const std::string& name,
                                           const QJsonObject&) = nullptr;
  };

  GatewayDaemon(GatewayDaemonSettings settings, PlatformPorts ports,
                EventLog* log, std::function<void()> on_stopped);
  ~GatewayDaemon();

  /// Returns false when a component cannot start, e.g. because a port is in
  /// use.
  bool Start();

  /// Fails readiness probes, completes active requests and those that still
  /// arrive on open connections, and stops within the drain time.
  void RequestStop();

  /// Applies changed times and limits. Names, endpoints and windows are fixed
  /// for the lifetime of the process.
  void ApplySettings(const GatewayDaemonSettings& settings);

  /// Whether the daemon has a recently confirmed configuration and a list of
  /// upstreams, and is not draining.
  [[nodiscard]] bool IsReady() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_
