#include <doctest/doctest.h>
#include <sys/socket.h>

#include <QAbstractEventDispatcher>
#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "http/http_call.h"
#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr int kObservedMs = 300;
// The test's own turns, one each millisecond, and some for what happens.
constexpr int kMaxTurns = 2 * kObservedMs;
constexpr std::size_t kMuch = 4 * 1024 * 1024;

/// Turns of the event loop within `kObservedMs`.
int CountTurns() {
  int turns = 0;
  QObject context;
  QObject::connect(QAbstractEventDispatcher::instance(),
                   &QAbstractEventDispatcher::awake, &context,
                   [&turns] { ++turns; });
  RunFor(kObservedMs);
  return turns;
}

/// The other end of a connection and how it ends it.
struct Peer {
  QTcpSocket socket;

  void HalfClose() {
    ::shutdown(static_cast<int>(socket.socketDescriptor()), SHUT_WR);
  }
  void Reset() {
    const linger reset{1, 0};
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &reset, sizeof(reset));
    socket.abort();
  }
};

}  // namespace

// Guards against a process that spins since a socket that nobody reads, or that
// takes nothing, has ended (FAULT).
TEST_CASE("the event loop waits while a caller's connection is not read") {
  std::vector<std::shared_ptr<HttpResponder>> responders;
  auto server = HttpServer::Builder()
                    .Listen({"127.0.0.1", 0})
                    .Handler([&](const HttpRequest&, auto responder) {
                      responders.push_back(std::move(responder));
                    })
                    .Build();
  REQUIRE(server->Start());
  Peer peer;
  peer.socket.connectToHost(QHostAddress(QHostAddress::LocalHost),
                            server->Port());
  REQUIRE(peer.socket.waitForConnected(1'000));
  peer.socket.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(WaitUntil([&] { return responders.size() == 1; }));

  SUBCASE("since its request is in work") {}
  SUBCASE("since its request is in work, and more than may wait follows") {
    peer.socket.write(QByteArray(kMuch, 'x'));
  }
  SUBCASE("since it takes nothing of a response") {
    peer.socket.setReadBufferSize(1);
    responders[0]->StartStream(200, {});
    responders[0]->Write(std::string(kMuch, 'x'));
  }
  SUBCASE("since it takes nothing of its last response") {
    peer.socket.setReadBufferSize(1);
    server->CloseAfterResponses();
    responders[0]->Send({200, {}, std::string(kMuch, 'x')});
    peer.socket.write(QByteArray(kMuch, 'x'));
  }
  CHECK(CountTurns() < kMaxTurns);
  SUBCASE("and ends in one direction") { peer.HalfClose(); }
  SUBCASE("and is reset") { peer.Reset(); }
  CHECK(CountTurns() < kMaxTurns);
}

TEST_CASE("the event loop waits while an upstream's connection is not read") {
  RawUpstream upstream([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n");
    connection.socket->write(QByteArray(kMuch, 'x'));
  });
  HttpCall* started = nullptr;
  std::unique_ptr<HttpCall> call =
      HttpCall::Builder(upstream.Address(), {"GET", "/a", {}, {}})
          .OnBody([&](std::string_view) { started->SetPaused(true); })
          .OnEnd([](HttpCallEnd) {})
          .Start();
  started = call.get();
  REQUIRE(WaitUntil([&] { return upstream.Requests() == 1; }));
  RunFor(100);
  CHECK(CountTurns() < kMaxTurns);
  auto* socket = upstream.At(0).socket;
  SUBCASE("and ends in one direction") {
    ::shutdown(static_cast<int>(socket->socketDescriptor()), SHUT_WR);
  }
  SUBCASE("and is reset") {
    const linger reset{1, 0};
    ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &reset, sizeof(reset));
    socket->abort();
  }
  CHECK(CountTurns() < kMaxTurns);
}

}  // namespace firmoor
