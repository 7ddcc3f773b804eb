#ifndef FIRMOOR_HTTP_DETAILS_IDLE_CONNECTIONS_H_
#define FIRMOOR_HTTP_DETAILS_IDLE_CONNECTIONS_H_

#include <QTcpSocket>
#include <map>
#include <memory>
#include <vector>

#include "base/time.h"
#include "http/http_call.h"

namespace firmoor {
namespace details {

struct SocketDeleter {
  void operator()(QTcpSocket* socket) const {
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
  }
};
using SocketPtr = std::unique_ptr<QTcpSocket, SocketDeleter>;

/// A pooled connection that no call uses.
struct IdleConnection {
  SocketPtr socket;
  TimePoint usable_until;
};

}  // namespace details

/// The idle connections of a pool, by their endpoint.
struct HttpConnectionPool::Impl {
  std::map<Endpoint, std::vector<details::IdleConnection>> idle;

  /// A connection to `endpoint` that may be reused; null if there is none.
  details::SocketPtr Take(const Endpoint& endpoint);
  /// Keeps `socket` for `idle_timeout`, unless there are enough.
  void Keep(const Endpoint& endpoint, details::SocketPtr socket,
            Duration idle_timeout);
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_DETAILS_IDLE_CONNECTIONS_H_
