#ifndef FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_
#define FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_

#include <QByteArray>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/cloud_api.h"
#include "gateway/coordination.h"
#include "gateway/gateway.h"
#include "peer/peer_node.h"
#include "platform/object_store.h"

namespace firmoor {

/// What one daemon does for all: the holder of a lease in the store collects
/// the daemons' reports, limits_ready shared limits, reports usage and orders
/// upstreams. The others report to it once a second, and look at the lease
/// only when it does not answer, so that the store hears of one daemon alone
/// while all is well. Lives in the event loop.
class CoordinatorService {
 public:
  struct Settings {
    std::string daemon;
    std::string instance_id;
    std::string region;
    Endpoint peers;  ///< Where this daemon listens for the others.
    Duration lease{3'000};
    Duration quota_window{8'000};
    std::int64_t usage_window_ms = 5'000;
    double cores = 1;  ///< Part of a processor core that the VM has.
    bool reports_usage = true;
    bool orders_upstreams = true;
    Strategies strategies;

    bool operator==(const Settings&) const = default;
  };
  /// All of them outlive the service.
  struct Environment {
    Gateway* gateway = nullptr;
    ObjectStore* store = nullptr;
    CloudApi* cloud = nullptr;
    TrueTime* true_time = nullptr;
    EventLog* log = nullptr;
    /// Called when the coordinator holds another configuration.
    std::function<void()> check_configuration;
    /// Whom this daemon reads the store's content from, the preferred one
    /// first; empty: the store.
    std::function<void(const std::vector<Endpoint>&)> set_sources;
    /// Serves an ask of another daemon for the store's content.
    std::function<void(const QByteArray&, const PeerNode::Reply&)> serve_relay;
  };

  CoordinatorService(Settings settings, Environment environment);
  ~CoordinatorService();

  bool Start();
  void Stop();

  [[nodiscard]] bool IsHolder() const;

  /// Asks another daemon for the store's content.
  void CallRelay(const Endpoint& peer, const QByteArray& ask, Duration timeout,
                 PeerNode::Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_
