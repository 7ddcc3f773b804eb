#include "http/connect_probe.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <memory>
#include <utility>

namespace firmoor {

std::string_view NameOf(ConnectResult result) {
  constexpr std::string_view kNames[] = {"connected", "refused", "timed-out"};
  return kNames[static_cast<int>(result)];
}

void ProbeConnect(const Endpoint& endpoint, Duration timeout,
                  std::function<void(ConnectResult)> done) {
  // Deletes itself when it has ended.
  auto* socket = new QTcpSocket();
  const auto finish = [socket, done = std::move(done)](ConnectResult result) {
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
    done(result);
  };
  QObject::connect(socket, &QTcpSocket::connected, socket,
                   [finish] { finish(ConnectResult::kConnected); });
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                   [finish](QAbstractSocket::SocketError error) {
                     finish(error == QAbstractSocket::ConnectionRefusedError
                                ? ConnectResult::kRefused
                                : ConnectResult::kTimedOut);
                   });
  QTimer::singleShot(timeout, socket,
                     [finish] { finish(ConnectResult::kTimedOut); });
  socket->connectToHost(QHostAddress(QString::fromStdString(endpoint.address)),
                        endpoint.port);
}

}  // namespace firmoor
