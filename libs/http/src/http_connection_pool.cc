#include <algorithm>
#include <utility>

#include "details/idle_connections.h"

namespace firmoor {
namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 16;

}  // namespace

details::SocketPtr HttpConnectionPool::Impl::Take(const Endpoint& endpoint) {
  auto& sockets = idle[endpoint];
  while (!sockets.empty()) {
    details::IdleConnection connection = std::move(sockets.back());
    sockets.pop_back();
    const bool usable =
        connection.socket->state() == QAbstractSocket::ConnectedState &&
        connection.socket->bytesAvailable() == 0 &&
        MonotonicNow() < connection.usable_until;
    if (usable) return std::move(connection.socket);
  }
  idle.erase(endpoint);
  return nullptr;
}

void HttpConnectionPool::Impl::Keep(const Endpoint& endpoint,
                                    details::SocketPtr socket,
                                    Duration idle_timeout) {
  auto& sockets = idle[endpoint];
  const auto now = MonotonicNow();
  std::erase_if(sockets, [now](const details::IdleConnection& connection) {
    return now >= connection.usable_until;
  });
  if (sockets.size() >= kMaxIdlePerEndpoint || idle_timeout <= Duration(0)) {
    return;
  }
  socket->disconnect();
  sockets.push_back({std::move(socket), now + idle_timeout});
}

HttpConnectionPool::HttpConnectionPool() : impl_(std::make_unique<Impl>()) {}
HttpConnectionPool::~HttpConnectionPool() = default;

void HttpConnectionPool::Forget(const Endpoint& endpoint) {
  impl_->idle.erase(endpoint);
}

}  // namespace firmoor
