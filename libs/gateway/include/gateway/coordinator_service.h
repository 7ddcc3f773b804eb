#ifndef FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_
#define FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/cloud_api.h"
#include "gateway/coordination.h"
#include "gateway/gateway.h"
#include "gateway/rollout_status_store.h"
#include "peer/peer_node.h"
#include "platform/object_store.h"
#include "platform/store_era.h"

namespace firmoor {

/// Runs the tasks that one daemon performs for the whole fleet. The daemon that
/// holds a lease in the store is the coordinator: it collects the daemons'
/// reports, divides the shared limits, reports usage and orders upstreams.
///
/// The other daemons report to the coordinator once a second and read the lease
/// only when it does not reply, so that in normal operation only one daemon
/// calls the store for the lease. A coordinator that drains hands the lease to
/// another daemon and tells in its replies where to report. Not thread-safe;
/// runs in the event loop.
class CoordinatorService {
 public:
  struct Settings {
    std::string daemon;
    std::string instance_id;
    std::string availability_zone;
    std::string region;
    Endpoint peers;  ///< Where this daemon listens for other daemons.
    Duration lease{3'000};
    Duration quota_window{8'000};
    std::int64_t usage_window_ms = 5'000;
    double cores = 1;  ///< Processor cores of the VM, may be less than one.
    bool reports_usage = true;
    bool orders_upstreams = true;
    bool is_first_start = false;  ///< There has been no coordinator yet.
    Strategies strategies;

    bool operator==(const Settings&) const = default;
  };
  /// The pointers must outlive the service.
  struct Environment {
    Gateway* gateway = nullptr;
    ObjectStore* store = nullptr;
    StoreEra* store_era = nullptr;
    CloudApi* cloud = nullptr;
    TrueTime* true_time = nullptr;
    EventLog* log = nullptr;
    /// Called when the coordinator has another configuration version.
    std::function<void()> check_configuration;
    /// Sets the daemons to read the store's content from, the preferred one
    /// first; empty for the store itself.
    std::function<void(const std::vector<Endpoint>&)> set_sources;
    /// Serves another daemon's request for the store's content.
    std::function<void(const QByteArray&, const PeerNode::Reply&)> serve_relay;
    RolloutStatusStore* rollouts = nullptr;  ///< Null if none are served.
  };

  CoordinatorService(Settings settings, Environment environment);
  ~CoordinatorService();

  /// Returns false when the peer endpoint cannot be bound.
  bool Start();
  /// Whether the last `Start` failed because the peer endpoint is in use.
  [[nodiscard]] bool IsAddressInUse() const;
  void Stop();

  /// Whether this daemon runs the coordinator.
  [[nodiscard]] bool IsHolder() const;
  /// Whether this daemon should not stop yet, as others would be without a
  /// coordinator or not know the new one.
  [[nodiscard]] bool HasToHandOver() const;
  /// Whether a complete response to another daemon is not wholly sent.
  [[nodiscard]] bool HasUnsentResponse() const;

  /// The store returned from an older copy, see `StoreEra`.
  void OnStoreReturned(std::int64_t era);

  /// Times without a coordinator, in the Prometheus text format.
  [[nodiscard]] std::string MetricsText() const;

  /// Requests the store's content from another daemon.
  void CallRelay(const Endpoint& peer, const QByteArray& ask, Duration timeout,
                 PeerNode::Done done);
  /// Calls the gateway of another daemon.
  void CallPeer(const Endpoint& peer, const std::string& kind,
                const QByteArray& message, Duration timeout,
                PeerNode::Done done);
  /// Opens a stream to the gateway of another daemon; null when stopped.
  std::unique_ptr<PeerStream> OpenPeerStream(const Endpoint& peer,
                                             const std::string& kind,
                                             const QByteArray& message,
                                             PeerStream::Handlers handlers);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_COORDINATOR_SERVICE_H_
