#ifndef FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_
#define FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_

#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>

#include "gateway/cloud_api.h"
#include "gateway/daemon_settings.h"
#include "gateway/dialect.h"
#include "platform/kind_store.h"
#include "platform/object_store.h"

namespace firmoor {

class EventLog;

/// The daemon that forwards requests by routes: follows the configuration and
/// the upstreams in the platform's store, serves callers, takes part in the
/// duties, and stops in good order. Lives in the event loop.
class GatewayDaemon {
 public:
  /// What the daemon needs of a platform. All of them outlive the daemon.
  struct PlatformPorts {
    const Dialect* dialect = nullptr;
    KindStore* kinds = nullptr;
    ObjectStore* objects = nullptr;
    CloudApi* cloud = nullptr;
    std::string configuration_kind;  ///< Kind of the configuration's object.
    std::string configuration_name;
    std::string upstream_kind;  ///< Kind of the upstreams' entries.
    Result<RouteTableContent> (*decode_configuration)(const QJsonObject&);
    Result<UpstreamEntry> (*decode_upstream)(const std::string& id,
                                             const QJsonObject&);
  };

  GatewayDaemon(GatewayDaemonSettings settings, PlatformPorts ports,
                EventLog* log, std::function<void()> on_stopped);
  ~GatewayDaemon();

  /// False when a part cannot start, for instance since a port is taken.
  bool Start();

  /// Takes the daemon out of rotation, answers what is under way and what
  /// still comes on open connections, and ends within the drain time.
  void RequestStop();

  /// Takes the times and limits of settings that changed; names, endpoints and
  /// windows are fixed for the life of the process.
  void ApplySettings(const GatewayDaemonSettings& settings);

  /// Whether it has a recent configuration and knows the upstreams.
  [[nodiscard]] bool IsReady() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_GATEWAY_DAEMON_H_
