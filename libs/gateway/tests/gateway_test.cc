#include "gateway/gateway.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <string>

#include "gateway_world.h"

namespace firmoor {

TEST_CASE("a request is sent to another upstream") {
  World world;
  RawUpstream failing([](auto& connection) {
    Answer(connection, "500 Bad\r\nId: r1", "failed");
  });
  RawUpstream breaking(
      [](auto& connection) { connection.socket->disconnectFromHost(); });
  RawUpstream full([](auto& connection) {
    Answer(connection, "503 Full\r\nNot-Run: 1", "");
  });
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });

  SUBCASE("when it may be repeated and the first one failed") {
    world.Add("a", failing);
    world.Add("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(world.Ask("idempotent")->WaitFor("fine"));
    }
  }
  SUBCASE("when the first one declared that it did not run") {
    world.Add("a", full);
    world.Add("b", good);
    for (int i = 0; i < 4; ++i) CHECK(world.Ask("once")->WaitFor("fine"));
  }
  SUBCASE("but not when it may have run and must not run twice") {
    world.Add("a", breaking);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
    CHECK(breaking.Requests() == 1);
  }
  SUBCASE("and the failure is passed on unchanged when it must not") {
    world.Add("a", failing);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("failed"));
    CHECK(caller->Received().starts_with("HTTP/1.1 500"));
  }
  SUBCASE("and refused as not run when all declared that") {
    world.Add("a", full);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 503"));
    CHECK(caller->Received().find("Retry-After: 0.") != std::string::npos);
  }
}

TEST_CASE("a proof of the configuration from another daemon") {
  World world;
  const auto asked_at = MonotonicNow() + Duration(60'000);

  SUBCASE("is as old as it was when this daemon asked") {
    CHECK(world.gateway.ConfirmRoutesFromPeer(1, Duration(500), asked_at));
    CHECK(world.gateway.freshness().Age(asked_at) == Duration(500));
  }
  SUBCASE("does not count for another version") {
    CHECK_FALSE(
        world.gateway.ConfirmRoutesFromPeer(2, Duration(500), asked_at));
    CHECK(world.gateway.freshness().Age(asked_at) > Duration(50'000));
  }
}

TEST_CASE("an answer that belongs to another request is not passed on") {
  World world;
  RawUpstream confused([](auto& connection) {
    Answer(connection, "200 OK\r\nId: other", "secret");
  });
  world.Add("a", confused);
  auto caller = world.Ask("once");
  REQUIRE(caller->WaitFor("HTTP/1.1 "));
  CHECK(caller->Received().starts_with("HTTP/1.1 502"));
  CHECK(caller->Received().find("secret") == std::string::npos);
}

TEST_CASE("a stream that breaks off") {
  World world;
  RawUpstream breaking([](auto& connection) {
    StartEvents(connection, Event(1) + Event(2) + "id: 3\nda");
    QTimer::singleShot(50, connection.socket,
                       [s = connection.socket] { s->disconnectFromHost(); });
  });

  SUBCASE("goes on elsewhere after the last event, when it is resumable") {
    RawUpstream rest([](auto& connection) {
      const bool resumed =
          connection.received.find("From: 2") != std::string::npos;
      Answer(connection, "200 OK", resumed ? Event(3) + Event(4) : "wrong");
    });
    world.Add("a", breaking);
    auto caller = world.Ask("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    world.Add("b", rest);
    REQUIRE(caller->WaitFor("id: 4"));
    const auto& received = caller->Received();
    CHECK(received.find("id: 3") == received.rfind("id: 3"));
    CHECK(received.find("da\r\n") == std::string::npos);
    CHECK(caller->WaitFor("0\r\n\r\n"));
  }
  SUBCASE("is broken off towards the caller, when it is not") {
    world.Add("a", breaking);
    auto caller = world.Ask("stream");
    REQUIRE(caller->WaitFor("id: 2"));
    CHECK(caller->WaitClosed());
    CHECK(caller->Received().find("0\r\n\r\n") == std::string::npos);
  }
}

TEST_CASE("a stream at an engine that is reclaimed") {
  World world;
  std::string move_answer = "200 OK";
  RawUpstream::Connection* stream = nullptr;
  RawUpstream leaving([&](auto& connection) {
    // The calls come one after the other on one kept connection.
    if (connection.received.find("POST /move") != std::string::npos) {
      if (move_answer != "404 No Run") stream->socket->abort();
      return Answer(connection, move_answer, "copy-7");
    }
    if (connection.received.find("Copy: copy-7") != std::string::npos) {
      return Answer(connection, "200 OK", Event(3));
    }
    if (connection.received.find("GET /report") != std::string::npos) {
      return Answer(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEvents(connection, Event(1) + Event(2));
  });
  RawUpstream other([](auto& connection) {
    const bool moved =
        connection.received.find("Copy: copy-7") != std::string::npos &&
        connection.received.find("From: 2") != std::string::npos;
    Answer(connection, "200 OK", moved ? Event(3) : "wrong");
  });
  world.Add("a", leaving);
  auto caller = world.Ask("stream");
  REQUIRE(caller->WaitFor("id: 2"));
  world.Add("b", other);

  SUBCASE("goes on at another one, although it must not run twice") {
    world.Add("a", leaving, true);
    REQUIRE(caller->WaitFor("0\r\n\r\n"));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
  }
  SUBCASE("goes on where it was when it stopped and nothing was copied") {
    move_answer = "503 No Room";
    world.Add("a", leaving, true);
    REQUIRE(caller->WaitFor("0\r\n\r\n"));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
    CHECK(other.Requests() == 0);
  }
  SUBCASE("stays when it cannot be moved") {
    move_answer = "404 No Run";
    world.Add("a", leaving, true);
    REQUIRE(WaitUntil([&] { return leaving.Requests() == 3; }));
    RunFor(100);
    CHECK(other.Requests() == 0);
    stream->socket->disconnectFromHost();
    CHECK(caller->WaitClosed());
  }
}

TEST_CASE("a stream is not cut before its caller has given it up") {
  World world;
  RawUpstream slow([](auto& connection) { StartEvents(connection, Event(1)); });
  world.Add("a", slow);
  auto caller = world.Ask("stream", "Allowed-Ms: 400\r\n");
  REQUIRE(caller->WaitFor("id: 1"));
  // Callers may wait a little longer than they say, and leave by themselves.
  CHECK_FALSE(caller->WaitClosed(700));
  CHECK(caller->WaitClosed(1'000));
}

TEST_CASE("a stream whose events flow is delivered late rather than cut") {
  World world;
  QTimer events;
  int sent = 0;
  RawUpstream steady([&](auto& connection) {
    StartEvents(connection, Event(++sent));
    QObject::connect(&events, &QTimer::timeout, connection.socket,
                     [&sent, socket = connection.socket] {
                       socket->write(QByteArray::fromStdString(Event(++sent)));
                     });
    events.start(100);
  });
  world.Add("a", steady);
  auto caller = world.Ask("stream", "Allowed-Ms: 300\r\n");
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
  World world;
  bool closed = false;
  RawUpstream busy([&](auto& connection) {
    QObject::connect(connection.socket, &QTcpSocket::disconnected,
                     connection.socket, [&] { closed = true; });
  });
  world.Add("a", busy);

  SUBCASE("stops work that may be repeated") {
    auto caller = world.Ask("idempotent");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    CHECK(WaitUntil([&] { return closed; }, 400));
    CHECK(world.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("does not stop work that runs only once") {
    auto caller = world.Ask("once");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    RunFor(200);
    CHECK_FALSE(closed);
  }
}

}  // namespace firmoor
