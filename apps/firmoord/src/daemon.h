#ifndef FIRMOOR_FIRMOORD_DAEMON_H_
#define FIRMOOR_FIRMOORD_DAEMON_H_

#include <QFile>
#include <functional>
#include <memory>
#include <string>

#include "base/supervisor.h"
#include "claim_homes.h"
#include "config/settings.h"
#include "config_service.h"
#include "drain.h"
#include "fleet.h"
#include "http/http_server.h"
#include "metrics/service_metrics.h"
#include "observe_endpoint.h"
#include "operator_endpoint.h"
#include "peer_requests.h"
#include "placement_service.h"
#include "platform/http_object_store.h"
#include "platform/vm_list.h"
#include "serving/claim_store.h"
#include "serving/dispatcher.h"

namespace firmoor {

/// Creates the components of the daemon and runs them under a supervisor tree.
class Daemon {
 public:
  Daemon(const Settings& settings, std::function<void()> on_stopped);
  ~Daemon();

  bool Start();
  /// Starts draining. A second call hands over the remaining requests at once.
  void RequestStop();

 private:
  void OpenTrace();
  void BuildParts();
  void BuildFleet();
  void BuildEndpoints();
  void BuildSupervisors();
  DispatcherEnvironment MakeEnvironment();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] QJsonObject Status() const;
  [[nodiscard]] QJsonObject Report() const;
  [[nodiscard]] std::string MetricsText() const;

  Settings settings_;
  std::string instance_id_;
  std::function<void()> on_stopped_;
  ServiceMetrics metrics_;
  HttpObjectStore store_;
  std::unique_ptr<ClaimStore> claims_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<ConfigService> config_;
  // Declared before the fleet, whose handlers use them, so that they are
  // destroyed after it.
  std::unique_ptr<ClaimHomes> claim_homes_;
  std::unique_ptr<PeerRequests> peer_requests_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<VmListPoller> vm_list_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<OperatorEndpoint> operators_;
  std::unique_ptr<ObserveEndpoint> observe_;
  std::unique_ptr<PlacementService> placement_;
  std::unique_ptr<Drain> drain_;
  std::unique_ptr<QFile> trace_;
  std::unique_ptr<Supervisor> platform_tree_;
  std::unique_ptr<Supervisor> serving_tree_;
  std::unique_ptr<Supervisor> root_;
  bool has_seen_vms_ = false;
  TimePoint started_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_DAEMON_H_
