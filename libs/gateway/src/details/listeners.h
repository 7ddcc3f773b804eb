#ifndef FIRMOOR_GATEWAY_DETAILS_LISTENERS_H_
#define FIRMOOR_GATEWAY_DETAILS_LISTENERS_H_

#include <memory>
#include <string>

#include "base/event_log.h"
#include "details/listener_limits.h"
#include "http/http_server.h"

namespace firmoor::details {

/// What the listeners of a daemon share.
class Listeners {
 public:
  /// Does not own `log`.
  Listeners(const ListenerLimits& limits, EventLog* log);

  /// A server with the limits of the listener for callers.
  [[nodiscard]] HttpServer::Builder ForCallers(const Endpoint& endpoint) const;
  /// A server `name` for few connections, such as probes, whose requests have
  /// bodies up to `body_bytes`.
  [[nodiscard]] HttpServer::Builder ForOperators(
      const std::string& name, const Endpoint& endpoint,
      std::uint64_t body_bytes) const;

  [[nodiscard]] const ListenerLimits& limits() const { return limits_; }
  /// What requests take of the memory, in the Prometheus text format.
  [[nodiscard]] std::string Metrics() const;

 private:
  /// Logs callers of a listener that gave way, at most once in an interval.
  [[nodiscard]] HttpServer::GaveWay LogGaveWay(const std::string& name) const;

  ListenerLimits limits_;
  EventLog* log_;
  std::shared_ptr<BodyBudget> uploads_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_LISTENERS_H_
