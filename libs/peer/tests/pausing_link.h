#ifndef FIRMOOR_PEER_TESTS_PAUSING_LINK_H_
#define FIRMOOR_PEER_TESTS_PAUSING_LINK_H_

#include <doctest/doctest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <utility>
#include <vector>

#include "http/message.h"

namespace firmoor {

/// Passes bytes between clients and a server. While it is paused they wait, as
/// at a server that stands still: its kernel accepts connections and bytes.
class PausingLink {
 public:
  explicit PausingLink(Endpoint server) : server_(std::move(server)) {
    REQUIRE(listener_.listen(QHostAddress(QHostAddress::LocalHost), 0));
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                     [this] { Accept(); });
  }
  PausingLink(const PausingLink&) = delete;
  PausingLink& operator=(const PausingLink&) = delete;
  ~PausingLink() {
    for (const auto& pair : pairs_) {
      pair->client->disconnect();
      pair->server.disconnect();
    }
  }

  [[nodiscard]] Endpoint Address() const {
    return {"127.0.0.1", listener_.serverPort()};
  }
  void Pause() { is_paused_ = true; }
  void GoOn() {
    is_paused_ = false;
    for (const auto& pair : pairs_) Pass(pair.get());
  }
  /// Connections of clients so far.
  [[nodiscard]] std::size_t Connections() const { return pairs_.size(); }
  [[nodiscard]] bool IsOpen(std::size_t index) const {
    return pairs_.at(index)->client->state() == QAbstractSocket::ConnectedState;
  }
  [[nodiscard]] std::size_t OpenConnections() const {
    std::size_t open = 0;
    for (std::size_t i = 0; i < pairs_.size(); ++i) open += IsOpen(i) ? 1 : 0;
    return open;
  }

 private:
  struct Pair {
    QTcpSocket* client;  ///< Owned by `listener_`.
    QTcpSocket server;
  };

  void Accept() {
    while (auto* client = listener_.nextPendingConnection()) {
      pairs_.push_back(std::make_unique<Pair>());
      auto* pair = pairs_.back().get();
      pair->client = client;
      const auto pass = [this, pair] { Pass(pair); };
      QObject::connect(client, &QTcpSocket::readyRead, client, pass);
      QObject::connect(&pair->server, &QTcpSocket::readyRead, client, pass);
      QObject::connect(&pair->server, &QTcpSocket::connected, client, pass);
      QObject::connect(client, &QTcpSocket::disconnected, client,
                       [pair] { pair->server.abort(); });
      QObject::connect(&pair->server, &QTcpSocket::disconnected, client,
                       [pair] { pair->client->abort(); });
      pair->server.connectToHost(
          QHostAddress(QString::fromStdString(server_.address)), server_.port);
    }
  }
  void Pass(Pair* pair) {
    const bool is_connected =
        pair->server.state() == QAbstractSocket::ConnectedState &&
        pair->client->state() == QAbstractSocket::ConnectedState;
    if (is_paused_ || !is_connected) return;
    pair->server.write(pair->client->readAll());
    pair->client->write(pair->server.readAll());
  }

  Endpoint server_;
  QTcpServer listener_;
  std::vector<std::unique_ptr<Pair>> pairs_;
  bool is_paused_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_TESTS_PAUSING_LINK_H_
