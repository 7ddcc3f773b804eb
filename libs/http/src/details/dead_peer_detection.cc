#include "details/dead_peer_detection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace firmoor::details {
namespace {

// A connection ends in one of three ways while nothing arrives:
// - It is not established within `HttpCallTimeouts::connect`. Short, as nothing
//   has been sent yet and another upstream can be tried without risk.
// - An application is silent although its host responds to keep-alive probes:
//   the time-outs `first_byte`, `idle` and `total` decide.
// - The host is silent. A host that lost power closes no connection, and one
//   that is paused for a second or two responds again, so only the time tells
//   them apart. Linux compares TCP_USER_TIMEOUT, which overrides TCP_KEEPCNT,
//   whenever a probe or a retransmission is due, and ends the connection if one
//   is unanswered. After the last packet, probes are due each second, and
//   retransmissions after 0.2, 0.6, 1.4 and 3 s. A pause of up to two seconds
//   thus needs a time-out of more than three. TCP_KEEPCNT sets the same bound
//   on systems that count probes, but ends no connection for a single lost one.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kMinKeepAliveProbes = 2;

}  // namespace

void EnableDeadPeerDetection(qintptr descriptor, Duration host_silent) {
  const auto handle = static_cast<int>(descriptor);
  const int on = 1;
  const auto set = [handle](int level, int option, const auto& value) {
    setsockopt(handle, level, option, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, on);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  const auto silent_s =
      std::chrono::duration_cast<std::chrono::seconds>(host_silent).count();
  const int probes =
      static_cast<int>(silent_s - kKeepAliveIdleS) / kKeepAliveIntervalS;
  set(IPPROTO_TCP, TCP_KEEPCNT, std::max(probes, kMinKeepAliveProbes));
  set(IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<unsigned>(host_silent.count()));
}

}  // namespace firmoor::details
