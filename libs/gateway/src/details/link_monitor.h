#ifndef FIRMOOR_GATEWAY_DETAILS_LINK_MONITOR_H_
#define FIRMOOR_GATEWAY_DETAILS_LINK_MONITOR_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/time.h"
#include "reachability/upstream_reachability.h"
#include "routing/upstream_catalog.h"

namespace firmoor::details {

/// Knows which services' upstreams this daemon reaches: opens the connections
/// that `UpstreamReachability` asks for and logs its changes of belief. Runs in
/// the event loop.
class LinkMonitor {
 public:
  struct Environment {
    EventLog* log = nullptr;
    const UpstreamCatalog* catalog = nullptr;
    /// Called when the links to all upstreams of a service are lost.
    std::function<void(const std::string& service)> on_unreachable;
  };

  explicit LinkMonitor(Environment environment);

  /// The list of upstreams has changed.
  void OnCatalog();
  /// A byte of a response arrived.
  void OnContact(const std::string& upstream);
  /// A response arrived on a connection that was opened after `opened_at`.
  void OnConnected(const std::string& upstream, TimePoint opened_at);
  void OnConnectFailure(const std::string& upstream);
  void OnBroken(const std::string& upstream);
  void OnSilence(const std::string& upstream, TimePoint silent_since);
  /// The process was suspended until now.
  void OnStandstill();

  [[nodiscard]] const UpstreamReachability& reachability() const {
    return reachability_;
  }
  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string Metrics() const;

 private:
  void Update();
  void Probe(const std::string& upstream);
  void Log(const ReachabilityChange& change) const;

  Environment environment_;
  UpstreamReachability reachability_;
  QTimer probe_timer_;
  std::uint64_t probes_ = 0;
  std::uint64_t losses_ = 0;
  // Probes may end after this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_LINK_MONITOR_H_
