#include "http/reserved_connection.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <utility>

#include "details/idle_connections.h"

namespace firmoor {
namespace {

// It is moved right before the call that uses it.
constexpr Duration kTimeToCall{1'000};

}  // namespace

struct ReservedConnection::Impl {
  Endpoint endpoint;
  details::SocketPtr socket;
};

ReservedConnection::ReservedConnection(Endpoint endpoint,
                                       std::function<void()> on_closed)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = std::move(endpoint);
  impl_->socket.reset(new QTcpSocket());
  auto* socket = impl_->socket.get();
  // A copy, since the handler may delete this object and the connection.
  QObject::connect(socket, &QTcpSocket::disconnected, socket,
                   [handler = std::move(on_closed)] {
                     const auto copy = handler;
                     copy();
                   });
  socket->connectToHost(
      QHostAddress(QString::fromStdString(impl_->endpoint.address)),
      impl_->endpoint.port);
}

ReservedConnection::~ReservedConnection() = default;

bool ReservedConnection::IsOpen() const {
  return impl_->socket &&
         impl_->socket->state() == QAbstractSocket::ConnectedState;
}

bool ReservedConnection::MoveTo(HttpConnectionPool* pool) {
  if (!IsOpen()) return false;
  impl_->socket->disconnect();
  pool->impl_->Keep(impl_->endpoint, std::move(impl_->socket), kTimeToCall);
  return true;
}

}  // namespace firmoor
