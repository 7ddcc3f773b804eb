#ifndef FIRMOOR_SUPPORT_RAW_SOCKET_H_
#define FIRMOOR_SUPPORT_RAW_SOCKET_H_

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/message.h"

namespace firmoor {

/// Runs the event loop until `condition` holds; false after `timeout_ms`.
inline bool WaitUntil(const std::function<bool()>& condition,
                      int timeout_ms = 5'000) {
  constexpr int kCheckPeriodMs = 1;
  QElapsedTimer timer;
  timer.start();
  // Ends the wait for events, so that conditions without an event are noticed.
  QTimer check;
  check.setTimerType(Qt::PreciseTimer);
  check.start(kCheckPeriodMs);
  while (!condition()) {
    if (timer.elapsed() > timeout_ms) return false;
    QCoreApplication::processEvents(QEventLoop::AllEvents |
                                    QEventLoop::WaitForMoreEvents);
  }
  return true;
}

/// Runs the event loop for `ms` milliseconds.
inline void RunFor(int ms) {
  WaitUntil([] { return false; }, ms);
}

/// A client that sends exact bytes and collects what comes back.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port)
      : RawClient(Endpoint{"127.0.0.1", port}) {}
  explicit RawClient(const Endpoint& to) {
    socket_.connectToHost(QHostAddress(QString::fromStdString(to.address)),
                          to.port);
    socket_.waitForConnected(1'000);
  }
  void Send(std::string_view bytes) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
  }
  /// Everything received so far.
  const std::string& Received() {
    received_ += socket_.readAll().toStdString();
    return received_;
  }
  bool WaitFor(std::string_view text, int timeout_ms = 5'000) {
    return WaitUntil([&] { return Received().find(text) != std::string::npos; },
                     timeout_ms);
  }
  bool WaitClosed(int timeout_ms = 5'000) {
    return WaitUntil(
        [&] {
          Received();
          return socket_.state() == QAbstractSocket::UnconnectedState;
        },
        timeout_ms);
  }
  void Leave() { socket_.abort(); }

 private:
  QTcpSocket socket_;
  std::string received_;
};

/// An upstream that runs a script for the bytes of each connection.
class RawUpstream {
 public:
  struct Connection {
    QTcpSocket* socket;
    std::string received;
    int requests = 0;  ///< Heads seen, counted by their empty lines.
  };
  /// Called for every whole head received.
  using Script = std::function<void(Connection&)>;

  explicit RawUpstream(Script script) : script_(std::move(script)) {
    listener_.listen(QHostAddress(QHostAddress::LocalHost), 0);
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                     [this] { Accept(); });
  }
  ~RawUpstream() { listener_.close(); }
  [[nodiscard]] Endpoint Address() const {
    return {"127.0.0.1", listener_.serverPort()};
  }
  /// Runs `script` instead on connections that begin with `prefix`. Their
  /// requests are not counted.
  void Serve(std::string prefix, Script script) {
    served_prefix_ = std::move(prefix);
    served_script_ = std::move(script);
  }
  [[nodiscard]] int Requests() const {
    int total = 0;
    for (const auto& connection : connections_) {
      if (!IsServed(*connection)) total += connection->requests;
    }
    return total;
  }
  [[nodiscard]] std::size_t Connections() const { return connections_.size(); }
  /// As a process that dies: nobody listens any more, and all connections close
  /// in order.
  void Die() {
    listener_.close();
    for (const auto& connection : connections_) {
      connection->socket->disconnectFromHost();
    }
  }
  Connection& At(std::size_t index) { return *connections_.at(index); }

 private:
  void Accept() {
    while (auto* socket = listener_.nextPendingConnection()) {
      connections_.push_back(
          std::make_unique<Connection>(Connection{socket, {}, 0}));
      auto* connection = connections_.back().get();
      QObject::connect(socket, &QTcpSocket::readyRead, socket,
                       [this, connection] { Read(*connection); });
    }
  }
  [[nodiscard]] bool IsServed(const Connection& connection) const {
    return served_script_ && connection.received.starts_with(served_prefix_);
  }
  void Read(Connection& connection) {
    connection.received += connection.socket->readAll().toStdString();
    int heads = 0;
    for (std::size_t at = 0;
         (at = connection.received.find("\r\n\r\n", at)) != std::string::npos;
         at += 4) {
      ++heads;
    }
    while (connection.requests < heads) {
      ++connection.requests;
      (IsServed(connection) ? served_script_ : script_)(connection);
    }
  }

  QTcpServer listener_;
  Script script_;
  std::string served_prefix_;
  Script served_script_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_RAW_SOCKET_H_
