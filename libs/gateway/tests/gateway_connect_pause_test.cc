#include <doctest/doctest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <memory>

#include "gateway_fixture.h"
#include "support/packet_drop.h"

namespace firmoor {

// Guards against LOST: a stream's upstream broke off, the host of the only
// other one accepted no connection for a second, and the stream was given up at
// the time-out of the connection though its time had hardly begun.
TEST_CASE("a started stream waits for the host of its last upstream") {
  GatewayFixture fixture;
  RawUpstream breaking([](auto& connection) {
    StartEventStream(connection, MakeEvent(1));
    QTimer::singleShot(300, connection.socket,
                       [s = connection.socket] { s->abort(); });
  });
  QTcpServer pausing;
  REQUIRE(pausing.listen(QHostAddress(QHostAddress::LocalHost), 0));
  QObject::connect(&pausing, &QTcpServer::newConnection, &pausing, [&] {
    auto* socket = pausing.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
      const auto event = MakeEvent(2);
      socket->write(QByteArray::fromStdString(
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(event.size()) +
          "\r\n\r\n" + event));
    });
  });
  auto drop = std::make_unique<PacketDrop>(pausing.socketDescriptor());
  REQUIRE(drop->IsActive());
  fixture.AddUpstream("a", breaking);
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  fixture.AddUpstream("b", Endpoint{"127.0.0.1", pausing.serverPort()});
  QTimer::singleShot(1'000, &pausing, [&] { drop.reset(); });
  CHECK(caller->WaitFor("id: 2", 2'800));
}

}  // namespace firmoor
