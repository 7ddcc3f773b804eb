#include "support/relay.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <utility>

namespace firmoor {

struct Relay::Pair {
  std::string source;
  std::string route;
  QTcpSocket* near = nullptr;
  QTcpSocket* far = nullptr;
  RelayHarm harm = RelayHarm::kNone;
  bool closed = false;
};

Relay::Relay() = default;

Relay::~Relay() {
  for (const auto& pair : pairs_) Abort(pair);
}

std::uint16_t Relay::AddRoute(const std::string& route, const Endpoint& listen,
                              const Endpoint& target) {
  auto* listener = new QTcpServer(&context_);
  if (!listener->listen(QHostAddress(QString::fromStdString(listen.address)),
                        listen.port)) {
    return 0;
  }
  QObject::connect(
      listener, &QTcpServer::newConnection, listener,
      [this, listener, route, target] { Accept(listener, route, target); });
  listeners_[route] = listener;
  return listener->serverPort();
}

void Relay::Accept(QTcpServer* listener, const std::string& route,
                   const Endpoint& target) {
  while (auto* near = listener->nextPendingConnection()) {
    const auto pair = std::make_shared<Pair>();
    pair->source = near->peerAddress().toString().toStdString();
    pair->route = route;
    // The listener would delete its connections with itself.
    near->setParent(&context_);
    pair->near = near;
    pair->far = new QTcpSocket(&context_);
    pair->far->connectToHost(
        QHostAddress(QString::fromStdString(target.address)), target.port);
    pair->harm = HarmOf(*pair);
    for (auto* socket : {near, pair->far}) {
      QObject::connect(socket, &QTcpSocket::readyRead, &context_,
                       [this, pair] { Move(pair); });
      QObject::connect(socket, &QTcpSocket::disconnected, &context_,
                       [this, pair] { OnLeft(pair); });
      QObject::connect(socket, &QTcpSocket::errorOccurred, &context_,
                       [this, pair] { OnLeft(pair); });
    }
    QObject::connect(pair->far, &QTcpSocket::connected, &context_,
                     [this, pair] { Move(pair); });
    pairs_.push_back(pair);
  }
  std::erase_if(pairs_, [](const auto& pair) { return pair->closed; });
}

void Relay::Move(const std::shared_ptr<Pair>& pair) {
  const bool is_still =
      pair->harm == RelayHarm::kSilent || pair->harm == RelayHarm::kPaused;
  if (pair->closed || is_still) return;
  if (pair->far->state() != QAbstractSocket::ConnectedState) return;
  if (pair->harm != RelayHarm::kSilentToward) Pass(pair, true);
  if (pair->harm != RelayHarm::kSilentBack) Pass(pair, false);
}

void Relay::Pass(const std::shared_ptr<Pair>& pair, bool toward) {
  auto* from = toward ? pair->near : pair->far;
  auto* to = toward ? pair->far : pair->near;
  const auto bytes = from->readAll();
  if (bytes.isEmpty()) return;
  if (toward && hooks_.on_passed_toward) {
    hooks_.on_passed_toward(
        pair->route, {bytes.data(), static_cast<std::size_t>(bytes.size())});
  }
  if (pair->harm != RelayHarm::kDelayed) {
    to->write(bytes);
    return;
  }
  QTimer::singleShot(kRelayDelay, &context_, [pair, to, bytes] {
    if (!pair->closed) to->write(bytes);
  });
}

void Relay::OnLeft(const std::shared_ptr<Pair>& pair) {
  switch (pair->harm) {
    case RelayHarm::kNone:
      return Close(pair);
    case RelayHarm::kDelayed:
      // After the bytes that are still on their way.
      QTimer::singleShot(kRelayDelay * 2, &context_, [pair] { Close(pair); });
      return;
    case RelayHarm::kSilent:
    case RelayHarm::kSilentToward:
    case RelayHarm::kSilentBack:
    case RelayHarm::kPaused:
      return;  // Nobody sees that the other side left.
  }
}

void Relay::Close(const std::shared_ptr<Pair>& pair) {
  if (pair->closed) return;
  pair->near->write(pair->far->readAll());
  pair->closed = true;
  pair->near->disconnectFromHost();
  pair->far->disconnectFromHost();
  pair->near->deleteLater();
  pair->far->deleteLater();
}

void Relay::Abort(const std::shared_ptr<Pair>& pair) {
  if (std::exchange(pair->closed, true)) return;
  pair->near->abort();
  pair->far->abort();
  pair->near->deleteLater();
  pair->far->deleteLater();
}

RelayHarm Relay::HarmOf(const Pair& pair) const {
  for (const auto& rule : rules_) {
    if (pair.route == rule.route && pair.source.starts_with(rule.source)) {
      return rule.harm;
    }
  }
  return RelayHarm::kNone;
}

void Relay::SetRules(std::vector<Rule> rules) {
  rules_ = std::move(rules);
  std::erase_if(pairs_, [](const auto& pair) { return pair->closed; });
  for (const auto& pair : std::vector(pairs_)) {
    const auto before = std::exchange(pair->harm, HarmOf(*pair));
    if (pair->harm != RelayHarm::kNone || before == pair->harm) continue;
    if (before == RelayHarm::kPaused) {
      GoOn(pair);
    } else {
      Abort(pair);
    }
  }
}

void Relay::GoOn(const std::shared_ptr<Pair>& pair) {
  Move(pair);
  if (pair->closed) return;
  const auto has_left = [](const QTcpSocket* socket) {
    return socket->state() == QAbstractSocket::UnconnectedState;
  };
  if (has_left(pair->near) || has_left(pair->far)) Close(pair);
}

void Relay::RemoveRoute(const std::string& route) {
  const auto listener = listeners_.extract(route);
  if (listener.empty()) return;
  listener.mapped()->close();
  listener.mapped()->deleteLater();
}

void Relay::Reset(const std::string& route) {
  for (const auto& pair : std::vector(pairs_)) {
    if (pair->route == route) Abort(pair);
  }
}

}  // namespace firmoor
