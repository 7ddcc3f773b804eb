#include <doctest/doctest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <memory>

#include "gateway_fixture.h"
#include "support/packet_drop.h"
#include "support/reserved_port.h"

namespace firmoor {
namespace {

/// Answers each request with a stream of this event.
void ServeEvent(QTcpServer* server, int id) {
  QObject::connect(server, &QTcpServer::newConnection, server, [server, id] {
    auto* socket = server->nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, id] {
      const auto event = MakeEvent(id);
      socket->write(QByteArray::fromStdString(
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(event.size()) +
          "\r\n\r\n" + event));
    });
  });
}

}  // namespace

// Guards against LOST: a stream's upstream broke off, the host of the only
// other one accepted no connection for a second, and the stream was given up at
// the time-out of the connection though its time had hardly begun.
TEST_CASE("a started stream waits for the host of its last upstream") {
  GatewayFixture fixture;
  RawUpstream breaking([](auto& connection) {
    StartEventStream(connection, MakeEvent(1));
    BreakAfter(300)(connection);
  });
  QTcpServer pausing;
  REQUIRE(pausing.listen(QHostAddress(QHostAddress::LocalHost), 0));
  ServeEvent(&pausing, 2);
  auto drop = std::make_unique<PacketDrop>(pausing.socketDescriptor());
  REQUIRE(drop->IsActive());
  fixture.AddUpstream("a", breaking);
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  fixture.AddUpstream("b", Endpoint{"127.0.0.1", pausing.serverPort()});
  QTimer::singleShot(1'000, &pausing, [&] { drop.reset(); });
  CHECK(caller->WaitFor("id: 2", 2'800));
}

// Guards against LOST: a stream's upstream fell silent for good, the other one
// refused the connection once, and was not tried again.
TEST_CASE("a second attempt that found no connection is made again") {
  GatewayFixture fixture;
  fixture.SetTimeouts(Duration(6'000));
  RawUpstream silent(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  fixture.AddUpstream("a", silent);
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  QTcpServer starting;
  const auto port = ReservePort();
  fixture.AddUpstream("b", Endpoint{"127.0.0.1", port});
  RunFor(2'000);
  REQUIRE(starting.listen(QHostAddress(QHostAddress::LocalHost), port));
  ServeEvent(&starting, 2);
  CHECK(caller->WaitFor("id: 2", 2'500));
}

}  // namespace firmoor
