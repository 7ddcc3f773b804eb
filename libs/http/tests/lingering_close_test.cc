#include "details/lingering_close.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <cstddef>
#include <memory>
#include <string>

#include "stubborn_peer.h"
#include "support/raw_socket.h"

namespace firmoor::details {
namespace {

constexpr std::size_t kMegabyte = 1'024 * 1'024;

struct Fixture {
  QTcpServer listener;
  std::unique_ptr<StubbornPeer> peer;
  std::unique_ptr<QTcpSocket> socket;
  int stalls = 0;

  Fixture() {
    REQUIRE(listener.listen(QHostAddress(QHostAddress::LocalHost), 0));
    peer = std::make_unique<StubbornPeer>(listener.serverPort());
    REQUIRE(WaitUntil([this] { return listener.hasPendingConnections(); }));
    socket.reset(listener.nextPendingConnection());
    socket->setParent(nullptr);
    socket->setReadBufferSize(64 * 1'024);
  }
  void OnStalled() {
    ++stalls;
    socket->abort();
  }
  bool IsClosed() const {
    return socket->state() == QAbstractSocket::UnconnectedState;
  }
  bool WaitClosed(int timeout_ms) {
    return WaitUntil([this] { return IsClosed(); }, timeout_ms);
  }
};

}  // namespace

// Guards against bytes that a reset destroys, and against connections that stay
// open, or go on to read, for as long as the peer likes.
TEST_CASE("a socket that is closed behind its last bytes") {
  Fixture fixture;
  LingerBounds bounds{Duration(200), 64 * 1'024};

  SUBCASE("tells the peer the end at once") {
    bounds.time = Duration(10'000);
    LingeringClose close(
        fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
    fixture.socket->write("last");
    close.Start();
    REQUIRE(WaitUntil([&] { return fixture.peer->Receive() == "last"; }));
    CHECK(WaitUntil([&] { return fixture.peer->HasEnded(); }, 1'000));
    CHECK_FALSE(fixture.IsClosed());
    SUBCASE("and is closed when the peer closes") {
      fixture.peer.reset();
      CHECK(fixture.WaitClosed(1'000));
    }
  }
  SUBCASE("takes what a peer sends before it reads") {
    bounds = {Duration(10'000), 8 * kMegabyte};
    LingeringClose close(
        fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
    fixture.socket->write("last");
    close.Start();
    std::size_t left = bounds.bytes;
    CHECK(WaitUntil([&] {
      left -= fixture.peer->Send(left);
      return left == 0;
    }));
    CHECK(fixture.peer->Receive() == "last");
    CHECK(fixture.peer->HasEnded());
  }
  SUBCASE("waits no longer than its time for a peer that never closes") {
    LingeringClose close(
        fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
    fixture.socket->write("last");
    close.Start();
    CHECK_FALSE(fixture.IsClosed());
    CHECK(fixture.WaitClosed(1'000));
  }
  SUBCASE("reads no more than its bytes from a peer that sends without end") {
    LingeringClose close(
        fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
    fixture.socket->write("last");
    close.Start();
    std::size_t sent = 0;
    CHECK(WaitUntil(
        [&] {
          sent += fixture.peer->Send(kMegabyte);
          return fixture.IsClosed();
        },
        1'000));
    // What the buffers of both ends hold.
    CHECK(sent < 16 * kMegabyte);
  }
  SUBCASE("writes all bytes before its time begins") {
    LingeringClose close(
        fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
    const std::string body(32 * kMegabyte, 'x');
    fixture.socket->write(body.data(), static_cast<qint64>(body.size()));
    close.Start();
    CHECK_FALSE(fixture.WaitClosed(400));
    std::size_t received = 0;
    CHECK(WaitUntil([&] {
      received += fixture.peer->Receive().size();
      return received == body.size();
    }));
    CHECK(fixture.WaitClosed(1'000));
    CHECK(fixture.stalls == 0);
  }
}

// Guards against a connection, with all that was written to it, that is kept
// for as long as its peer takes nothing.
TEST_CASE("a socket that is closed while its peer does not read") {
  Fixture fixture;
  LingerBounds bounds;
  bounds.stall = Duration(300);
  LingeringClose close(
      fixture.socket.get(), [&] { fixture.OnStalled(); }, bounds);
  const std::string body(32 * kMegabyte, 'x');
  fixture.socket->write(body.data(), static_cast<qint64>(body.size()));
  close.Start();

  SUBCASE("is given up after a time") {
    CHECK(fixture.WaitClosed(2'000));
    CHECK(fixture.stalls == 1);
  }
  SUBCASE("is kept while the peer goes on, however slowly") {
    for (int i = 0; i < 10; ++i) {
      RunFor(100);
      fixture.peer->Receive();
    }
    CHECK_FALSE(fixture.IsClosed());
    CHECK(fixture.stalls == 0);
  }
}

}  // namespace firmoor::details
