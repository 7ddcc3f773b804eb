#include "gateway/gateway.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <string>

#include "gateway_fixture.h"

namespace firmoor {

TEST_CASE("a request is sent to another upstream") {
  GatewayFixture fixture;
  RawUpstream failing([](auto& connection) {
    SendResponse(connection, "500 Bad\r\nId: r1", "failed");
  });
  RawUpstream breaking(
      [](auto& connection) { connection.socket->disconnectFromHost(); });
  RawUpstream full([](auto& connection) {
    SendResponse(connection, "503 Full\r\nNot-Run: 1", "");
  });
  RawUpstream good([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });

  SUBCASE("when it may be repeated and the first one failed") {
    fixture.AddUpstream("a", failing);
    fixture.AddUpstream("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendRequest("idempotent")->WaitFor("fine"));
    }
  }
  SUBCASE("when the first one declared that it did not run") {
    fixture.AddUpstream("a", full);
    fixture.AddUpstream("b", good);
    for (int i = 0; i < 4; ++i)
      CHECK(fixture.SendRequest("once")->WaitFor("fine"));
  }
  SUBCASE("but not when it may have run and must not run twice") {
    fixture.AddUpstream("a", breaking);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
    CHECK(breaking.Requests() == 1);
  }
  SUBCASE("and the failure is passed on unchanged when it must not") {
    fixture.AddUpstream("a", failing);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("failed"));
    CHECK(caller->Received().starts_with("HTTP/1.1 500"));
  }
  SUBCASE("and refused as not run when all declared that") {
    fixture.AddUpstream("a", full);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 503"));
    CHECK(caller->Received().find("Retry-After: 0.") != std::string::npos);
  }
}

TEST_CASE("a proof of the configuration from another daemon") {
  GatewayFixture fixture;
  const auto asked_at = MonotonicNow() + Duration(60'000);

  SUBCASE("is as old as it was when this daemon asked") {
    CHECK(fixture.gateway.ConfirmRoutesFromPeer(1, Duration(500), asked_at));
    CHECK(fixture.gateway.freshness().Age(asked_at) == Duration(500));
  }
  SUBCASE("does not count for another version") {
    CHECK_FALSE(
        fixture.gateway.ConfirmRoutesFromPeer(2, Duration(500), asked_at));
    CHECK(fixture.gateway.freshness().Age(asked_at) > Duration(50'000));
  }
}

TEST_CASE("an answer that belongs to another request is not passed on") {
  GatewayFixture fixture;
  RawUpstream confused([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: other", "secret");
  });
  fixture.AddUpstream("a", confused);
  auto caller = fixture.SendRequest("once");
  REQUIRE(caller->WaitFor("HTTP/1.1 "));
  CHECK(caller->Received().starts_with("HTTP/1.1 502"));
  CHECK(caller->Received().find("secret") == std::string::npos);
}

TEST_CASE("a stream that breaks off") {
  GatewayFixture fixture;
  RawUpstream breaking([](auto& connection) {
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2) + "id: 3\nda");
    QTimer::singleShot(50, connection.socket,
                       [s = connection.socket] { s->disconnectFromHost(); });
  });

  SUBCASE("goes on elsewhere after the last event, when it is resumable") {
    RawUpstream rest([](auto& connection) {
      const bool resumed =
          connection.received.find("From: 2") != std::string::npos;
      SendResponse(connection, "200 OK",
                   resumed ? MakeEvent(3) + MakeEvent(4) : "wrong");
    });
    fixture.AddUpstream("a", breaking);
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    fixture.AddUpstream("b", rest);
    REQUIRE(caller->WaitFor("id: 4"));
    const auto& received = caller->Received();
    CHECK(received.find("id: 3") == received.rfind("id: 3"));
    CHECK(received.find("da\r\n") == std::string::npos);
    CHECK(caller->WaitFor("0\r\n\r\n"));
  }
  SUBCASE("is broken off towards the caller, when it is not") {
    fixture.AddUpstream("a", breaking);
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 2"));
    CHECK(caller->WaitClosed());
    CHECK(caller->Received().find("0\r\n\r\n") == std::string::npos);
  }
}

TEST_CASE("a stream at an engine that is reclaimed") {
  GatewayFixture fixture;
  std::string move_answer = "200 OK";
  RawUpstream::Connection* stream = nullptr;
  RawUpstream leaving([&](auto& connection) {
    // The calls come one after the other on one kept connection.
    if (connection.received.find("POST /move") != std::string::npos) {
      if (move_answer != "404 No Run") stream->socket->abort();
      return SendResponse(connection, move_answer, "copy-7");
    }
    if (connection.received.find("Copy: copy-7") != std::string::npos) {
      return SendResponse(connection, "200 OK", MakeEvent(3));
    }
    if (connection.received.find("GET /report") != std::string::npos) {
      return SendResponse(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream other([](auto& connection) {
    const bool moved =
        connection.received.find("Copy: copy-7") != std::string::npos &&
        connection.received.find("From: 2") != std::string::npos;
    SendResponse(connection, "200 OK", moved ? MakeEvent(3) : "wrong");
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("stream");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);

  SUBCASE("goes on at another one, although it must not run twice") {
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(caller->WaitFor("0\r\n\r\n"));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
  }
  SUBCASE("goes on where it was when it stopped and nothing was copied") {
    move_answer = "503 No Room";
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(caller->WaitFor("0\r\n\r\n"));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
    CHECK(other.Requests() == 0);
  }
  SUBCASE("stays when it cannot be moved") {
    move_answer = "404 No Run";
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(WaitUntil([&] { return leaving.Requests() == 3; }));
    RunFor(100);
    CHECK(other.Requests() == 0);
    stream->socket->disconnectFromHost();
    CHECK(caller->WaitClosed());
  }
}

TEST_CASE("a stream is not cut before its caller has given it up") {
  GatewayFixture fixture;
  RawUpstream slow(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  fixture.AddUpstream("a", slow);
  auto caller = fixture.SendRequest("stream", "Allowed-Ms: 400\r\n");
  REQUIRE(caller->WaitFor("id: 1"));
  // Callers may wait a little longer than they say, and leave by themselves.
  CHECK_FALSE(caller->WaitClosed(700));
  CHECK(caller->WaitClosed(1'000));
}

TEST_CASE("a stream whose events flow is delivered late rather than cut") {
  GatewayFixture fixture;
  QTimer events;
  int sent = 0;
  RawUpstream steady([&](auto& connection) {
    StartEventStream(connection, MakeEvent(++sent));
    QObject::connect(
        &events, &QTimer::timeout, connection.socket,
        [&sent, socket = connection.socket] {
          socket->write(QByteArray::fromStdString(MakeEvent(++sent)));
        });
    events.start(100);
  });
  fixture.AddUpstream("a", steady);
  auto caller = fixture.SendRequest("stream", "Allowed-Ms: 300\r\n");
  REQUIRE(caller->WaitFor("id: 1"));

  SUBCASE("long after the time that its caller allowed") {
    CHECK(caller->WaitFor("id: 20", 2'500));
  }
  SUBCASE("but not when the events stop then") {
    REQUIRE(caller->WaitFor("id: 12", 2'000));
    events.stop();
    CHECK(caller->WaitClosed(1'500));
  }
  SUBCASE("and not beyond the time of the route") {
    REQUIRE(caller->WaitFor("id: 20", 2'500));
    CHECK(caller->WaitClosed(1'500));
  }
}

TEST_CASE("a caller that leaves") {
  GatewayFixture fixture;
  bool closed = false;
  RawUpstream busy([&](auto& connection) {
    QObject::connect(connection.socket, &QTcpSocket::disconnected,
                     connection.socket, [&] { closed = true; });
  });
  fixture.AddUpstream("a", busy);

  SUBCASE("stops work that may be repeated") {
    auto caller = fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    CHECK(WaitUntil([&] { return closed; }, 400));
    CHECK(fixture.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("does not stop work that runs only once") {
    auto caller = fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    RunFor(200);
    CHECK_FALSE(closed);
  }
}

}  // namespace firmoor
