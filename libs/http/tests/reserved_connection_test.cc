#include "http/reserved_connection.h"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <optional>

#include "http/http_fetch.h"
#include "support/raw_socket.h"

namespace firmoor {

// Guards against a peer that cannot be asked once it has closed its listener.
TEST_CASE("a connection that is held in reserve") {
  QTcpServer listener;
  REQUIRE(listener.listen(QHostAddress(QHostAddress::LocalHost), 0));
  const Endpoint endpoint{"127.0.0.1", listener.serverPort()};
  int closes = 0;
  auto reserve =
      std::make_unique<ReservedConnection>(endpoint, [&] { ++closes; });
  REQUIRE(WaitUntil([&] { return listener.hasPendingConnections(); }));
  std::unique_ptr<QTcpSocket> peer(listener.nextPendingConnection());
  peer->setParent(nullptr);
  REQUIRE(WaitUntil([&] { return reserve->IsOpen(); }));

  SUBCASE("serves a call when the listener is closed") {
    listener.close();
    HttpConnectionPool pool;
    REQUIRE(reserve->MoveTo(&pool));
    CHECK_FALSE(reserve->IsOpen());
    CHECK_FALSE(reserve->MoveTo(&pool));
    std::optional<HttpFetchResult> result;
    const auto call =
        HttpFetch(endpoint, {"GET", "/", {}, ""}, {}, &pool,
                  [&](const HttpFetchResult& fetched) { result = fetched; });
    REQUIRE(WaitUntil([&] { return peer->bytesAvailable() > 0; }));
    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(WaitUntil([&] { return result.has_value(); }));
    CHECK(result->end == HttpCallEnd::kComplete);
    CHECK(closes == 0);
  }
  SUBCASE("tells when its peer closes it") {
    peer->disconnectFromHost();
    CHECK(WaitUntil([&] { return closes == 1; }));
    CHECK_FALSE(reserve->IsOpen());
    HttpConnectionPool pool;
    CHECK_FALSE(reserve->MoveTo(&pool));
  }
  SUBCASE("is closed with its owner") {
    reserve.reset();
    CHECK(WaitUntil(
        [&] { return peer->state() == QAbstractSocket::UnconnectedState; }));
    CHECK(closes == 0);
  }
}

TEST_CASE("a reserve that is refused is not open") {
  std::uint16_t port = 0;
  {
    QTcpServer listener;
    REQUIRE(listener.listen(QHostAddress(QHostAddress::LocalHost), 0));
    port = listener.serverPort();
  }
  int closes = 0;
  const ReservedConnection reserve({"127.0.0.1", port}, [&] { ++closes; });
  RunFor(50);
  CHECK_FALSE(reserve.IsOpen());
  CHECK(closes == 0);
}

}  // namespace firmoor
