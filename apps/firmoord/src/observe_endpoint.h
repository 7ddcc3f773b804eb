#ifndef FIRMOOR_FIRMOORD_OBSERVE_ENDPOINT_H_
#define FIRMOOR_FIRMOORD_OBSERVE_ENDPOINT_H_

#include <functional>
#include <memory>
#include <string>

#include "http/message.h"

namespace firmoor {

/// Serves health checks and metrics: `GET /live`, `GET /ready` and
/// `GET /metrics`. Uses Qt's HTTP server, which is sufficient because every
/// response is available immediately.
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
