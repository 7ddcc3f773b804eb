#include <doctest/doctest.h>

#include <QTimer>
#include <string>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

/// Sends events of a stream that has neither a length nor chunks.
void StartUntilClose(RawUpstream::Connection& connection,
                     const std::string& body) {
  connection.socket->write(
      QByteArray::fromStdString("HTTP/1.1 200 OK\r\n\r\n" + body));
  connection.socket->flush();
}

/// Whether the response says that it is complete.
bool ClaimsEnd(const std::string& received) {
  return received.ends_with(kEnd) ||
         received.find("Content-Length") != std::string::npos;
}

RawUpstream::Script CloseAfterEvents(int events) {
  return [events](auto& connection) {
    std::string body;
    for (int id = 1; id <= events; ++id) body += MakeEvent(id);
    StartUntilClose(connection, body);
    QTimer::singleShot(50, connection.socket,
                       [s = connection.socket] { s->disconnectFromHost(); });
  };
}

}  // namespace

// Guards against a stream that ends as complete since its upstream has died
// between two events, when only the close could tell its end.
TEST_CASE("a stream that ends with the connection of an upstream that died") {
  GatewayFixture fixture;
  RawUpstream dying([](auto& connection) {
    StartUntilClose(connection, MakeEvent(1) + MakeEvent(2));
  });
  fixture.AddUpstream("a", dying);

  SUBCASE("is cut towards the caller") {
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 2"));
    dying.Die();
    REQUIRE(caller->WaitClosed());
    CHECK_FALSE(ClaimsEnd(caller->Received()));
  }
  SUBCASE("goes on elsewhere if it is resumable") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    RawUpstream rest([](auto& connection) {
      SendResponse(connection, "200 OK",
                   HasReceived(connection, "From: 2") ? MakeEvent(3) : "wrong");
    });
    fixture.AddUpstream("b", rest);
    dying.Die();
    REQUIRE(caller->WaitFor("id: 3"));
    REQUIRE(caller->WaitClosed());
    CHECK(EventIds(caller->Received()) == std::vector{1, 2, 3});
  }
}

// Guards against a stream that is said to be complete though its upstream has
// only closed the connection.
TEST_CASE("a stream that ends with the connection of an upstream that lives") {
  GatewayFixture fixture;
  RawUpstream closing(CloseAfterEvents(2));
  fixture.AddUpstream("a", closing);

  SUBCASE("ends with the caller's connection, which claims nothing") {
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitClosed());
    CHECK(EventIds(caller->Received()) == std::vector{1, 2});
    CHECK(caller->Received().find("chunked") == std::string::npos);
    CHECK(caller->Received().find("Connection: close") != std::string::npos);
    CHECK_FALSE(ClaimsEnd(caller->Received()));
  }
  SUBCASE("does so too if it is resumable and nobody else can be asked") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitClosed());
    CHECK(EventIds(caller->Received()) == std::vector{1, 2});
    CHECK_FALSE(ClaimsEnd(caller->Received()));
  }
  SUBCASE("goes on with what another upstream has behind it") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    RawUpstream rest([](auto& connection) {
      SendResponse(connection, "200 OK", MakeEvent(3) + MakeEvent(4));
    });
    fixture.AddUpstream("b", rest);
    REQUIRE(caller->WaitFor("id: 4"));
    REQUIRE(caller->WaitClosed());
    CHECK(EventIds(caller->Received()) == std::vector{1, 2, 3, 4});
  }
  SUBCASE("is complete if another upstream has nothing behind it") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    RawUpstream rest(
        [](auto& connection) { SendResponse(connection, "200 OK", ""); });
    fixture.AddUpstream("b", rest);
    REQUIRE(caller->WaitClosed());
    CHECK(rest.Requests() == 1);
    CHECK(EventIds(caller->Received()) == std::vector{1, 2});
  }
  SUBCASE("is not cut if the other one fails") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    RawUpstream failing(
        [](auto& connection) { SendResponse(connection, "500 Bad", "x"); });
    fixture.AddUpstream("b", failing);
    REQUIRE(caller->WaitClosed());
    CHECK(failing.Requests() == 1);
    CHECK(EventIds(caller->Received()) == std::vector{1, 2});
    CHECK_FALSE(ClaimsEnd(caller->Received()));
  }
}

// Guards against a part of an answer that is passed on with a length.
TEST_CASE("an answer that ends with its connection") {
  GatewayFixture fixture;
  RawUpstream closing([](auto& connection) {
    StartUntilClose(connection, "an answer");
    connection.socket->disconnectFromHost();
  });
  RawUpstream dying([&](auto& connection) {
    StartUntilClose(connection, "a part");
    QTimer::singleShot(50, connection.socket, [&] { dying.Die(); });
  });

  SUBCASE("of an upstream that lives claims nothing to the caller") {
    fixture.AddUpstream("a", closing);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("an answer"));
    REQUIRE(caller->WaitClosed());
    CHECK(caller->Received().starts_with("HTTP/1.1 200"));
    CHECK_FALSE(ClaimsEnd(caller->Received()));
  }
  SUBCASE("of one that died has an unknown outcome") {
    fixture.AddUpstream("a", dying);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
  }
  SUBCASE("of one that died is replaced if the request may be repeated") {
    fixture.AddUpstream("a", dying);
    auto caller = fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return dying.Requests() == 1; }));
    RawUpstream good([](auto& connection) {
      SendResponse(connection, "200 OK\r\nId: r1", "fine");
    });
    fixture.AddUpstream("b", good);
    REQUIRE(caller->WaitFor("fine"));
    CHECK(caller->Received().find("a part") == std::string::npos);
  }
}

}  // namespace firmoor
