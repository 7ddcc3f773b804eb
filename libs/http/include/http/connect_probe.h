#ifndef FIRMOOR_HTTP_CONNECT_PROBE_H_
#define FIRMOOR_HTTP_CONNECT_PROBE_H_

#include <functional>
#include <string_view>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Whether a process listens at an endpoint.
enum class ConnectResult {
  kConnected,
  kRefused,
  kTimedOut,  ///< Or another error on the way.
};

/// "connected", "refused" or "timed-out", for logs.
std::string_view NameOf(ConnectResult result);

/// Opens a connection to `endpoint`, closes it again without sending anything,
/// and calls `done` once from the event loop.
void ProbeConnect(const Endpoint& endpoint, Duration timeout,
                  std::function<void(ConnectResult)> done);

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_CONNECT_PROBE_H_
