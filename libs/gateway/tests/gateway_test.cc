#include "gateway/gateway.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <string>

#include "gateway_fixture.h"

namespace firmoor {

TEST_CASE("a request is retried at another upstream") {
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

  SUBCASE("when it is idempotent and the first one failed") {
    fixture.AddUpstream("a", failing);
    fixture.AddUpstream("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendRequest("idempotent")->WaitFor("fine"));
    }
  }
  SUBCASE("when the first one declared it not run") {
    fixture.AddUpstream("a", full);
    fixture.AddUpstream("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendRequest("once")->WaitFor("fine"));
    }
  }
  SUBCASE("but not when it is not idempotent and may have run") {
    fixture.AddUpstream("a", breaking);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
    CHECK(breaking.Requests() == 1);
  }
  SUBCASE("and the error response is forwarded unchanged when it must not be") {
    fixture.AddUpstream("a", failing);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("failed"));
    CHECK(caller->Received().starts_with("HTTP/1.1 500"));
  }
  SUBCASE("and rejected as not run when all upstreams declared it not run") {
    fixture.AddUpstream("a", full);
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 503"));
    CHECK(caller->Received().find("Retry-After: 0.") != std::string::npos);
  }
}

// Guards against an answer that ends the process (review/1), or that is said
// not to have run.
TEST_CASE("an answer that announces more than is ever collected") {
  GatewayFixture fixture;
  RawUpstream boasting([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1000000000000000\r\n\r\n"
        "a part");
  });
  fixture.AddUpstream("a", boasting);

  SUBCASE("has an unknown outcome") {
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
    CHECK(boasting.Requests() == 1);
  }
  SUBCASE("is replaced by another upstream's if the request may be repeated") {
    RawUpstream good([](auto& connection) {
      SendResponse(connection, "200 OK\r\nId: r1", "fine");
    });
    fixture.AddUpstream("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.SendRequest("idempotent")->WaitFor("fine"));
    }
  }
}

TEST_CASE("a confirmation of the configuration by another daemon") {
  GatewayFixture fixture;
  const auto asked_at = MonotonicNow() + Duration(60'000);

  SUBCASE("has the reported age at the time of the query") {
    CHECK(fixture.gateway.ConfirmRoutesFromPeer(1, Duration(500), asked_at));
    CHECK(fixture.gateway.freshness().Age(asked_at) == Duration(500));
  }
  SUBCASE("is ignored for another version") {
    CHECK_FALSE(
        fixture.gateway.ConfirmRoutesFromPeer(2, Duration(500), asked_at));
    CHECK(fixture.gateway.freshness().Age(asked_at) > Duration(50'000));
    // Guards against a daemon that starts while a returned store shows an older
    // configuration, and serves keys that a later one revoked.
    SUBCASE("and the store confirms none that is older than that") {
      fixture.gateway.ConfirmRoutes(MonotonicNow() + Duration(500));
      CHECK(fixture.gateway.freshness().Age(asked_at) > Duration(59'900));
      fixture.gateway.ConfirmRoutes(MonotonicNow() + Duration(1'500));
      CHECK_FALSE(fixture.gateway.freshness().IsFresh(MonotonicNow()));
    }
  }
}

TEST_CASE("a response to another request is not forwarded") {
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

TEST_CASE("an interrupted stream") {
  GatewayFixture fixture;
  RawUpstream breaking([](auto& connection) {
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2) + "id: 3\nda");
    QTimer::singleShot(50, connection.socket,
                       [s = connection.socket] { s->disconnectFromHost(); });
  });

  SUBCASE("resumes elsewhere after the last event if it is resumable") {
    RawUpstream rest([](auto& connection) {
      const bool resumed = HasReceived(connection, "From: 2");
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
    CHECK(caller->WaitFor(kEnd));
  }
  SUBCASE("is aborted towards the caller if it is not") {
    fixture.AddUpstream("a", breaking);
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 2"));
    CHECK(caller->WaitClosed());
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
}

TEST_CASE("a stream at a reclaimed engine") {
  GatewayFixture fixture;
  std::string move_answer = "200 OK";
  RawUpstream::Connection* stream = nullptr;
  RawUpstream leaving([&](auto& connection) {
    // The requests arrive one after the other on one kept-alive connection.
    if (HasReceived(connection, "POST /move")) {
      if (move_answer != "404 No Run") stream->socket->abort();
      return SendResponse(connection, move_answer, "copy-7");
    }
    if (HasReceived(connection, "Copy: copy-7")) {
      return SendResponse(connection, "200 OK", MakeEvent(3));
    }
    if (HasReceived(connection, "GET /report")) {
      return SendResponse(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream other([](auto& connection) {
    const bool moved = HasReceived(connection, "Copy: copy-7") &&
                       HasReceived(connection, "From: 2");
    SendResponse(connection, "200 OK", moved ? MakeEvent(3) : "wrong");
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("stream");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);

  SUBCASE("continues at another engine even if it is not resumable") {
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(caller->WaitFor(kEnd));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
  }
  SUBCASE("continues at the same engine if it stopped but was not copied") {
    move_answer = "503 No Room";
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(caller->WaitFor(kEnd));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
    CHECK(other.Requests() == 0);
  }
  SUBCASE("keeps running if it cannot be moved") {
    move_answer = "404 No Run";
    fixture.AddUpstream("a", leaving, true);
    REQUIRE(WaitUntil([&] { return leaving.Requests() == 3; }));
    RunFor(100);
    CHECK(other.Requests() == 0);
    stream->socket->disconnectFromHost();
    CHECK(caller->WaitClosed());
  }
}

TEST_CASE("a stream is not cut off right at its caller's deadline") {
  GatewayFixture fixture;
  RawUpstream slow(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  fixture.AddUpstream("a", slow);
  auto caller = fixture.SendRequest("stream", "Allowed-Ms: 400\r\n");
  REQUIRE(caller->WaitFor("id: 1"));
  // Callers may wait a little longer than their deadline, and disconnect by
  // themselves.
  CHECK_FALSE(caller->WaitClosed(2'600));
  CHECK(caller->WaitClosed(800));
}

TEST_CASE("a stream that makes progress is not cut off") {
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

  SUBCASE("long after its caller's deadline") {
    CHECK(caller->WaitFor("id: 20", 2'500));
  }
  SUBCASE("even if its events stop after the deadline") {
    REQUIRE(caller->WaitFor("id: 12", 2'000));
    events.stop();
    CHECK_FALSE(caller->WaitClosed(1'300));
    CHECK(caller->WaitClosed(800));
  }
  SUBCASE("before the route's timeout") {
    REQUIRE(caller->WaitFor("id: 20", 2'500));
    CHECK(caller->WaitClosed(1'500));
  }
}

TEST_CASE("a caller that disconnects") {
  GatewayFixture fixture;
  bool closed = false;
  RawUpstream busy([&](auto& connection) {
    QObject::connect(connection.socket, &QTcpSocket::disconnected,
                     connection.socket, [&] { closed = true; });
  });
  fixture.AddUpstream("a", busy);

  SUBCASE("cancels an idempotent request") {
    auto caller = fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    CHECK(WaitUntil([&] { return closed; }, 400));
    CHECK(fixture.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("does not cancel a non-idempotent request") {
    auto caller = fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    RunFor(200);
    CHECK_FALSE(closed);
  }
}

}  // namespace firmoor
