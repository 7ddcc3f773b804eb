#ifndef FIRMOOR_FIRMOORD_OBSERVE_ENDPOINT_H_
#define FIRMOOR_FIRMOORD_OBSERVE_ENDPOINT_H_

#include <functional>
#include <memory>
#include <string>

#include "http/message.h"

namespace firmoor {

/// Probes of the balancer and metrics, by Qt's HTTP server: `GET /live`,
/// `GET /ready` and `GET /metrics`. All answers are made at once.
class ObserveEndpoint {
 public:
  struct Hooks {
    std::function<bool()> is_ready;
    std::function<std::string()> metrics;
  };

  ObserveEndpoint(const Endpoint& endpoint, Hooks hooks);
  ~ObserveEndpoint();

  bool Start();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_OBSERVE_ENDPOINT_H_
