#include <doctest/doctest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <optional>
#include <string>

#include "silent_upstreams.h"
#include "support/packet_drop.h"

namespace firmoor {
namespace {

/// Checks that the caller's connection closes, no sooner than after `from_ms`,
/// and that its request has ended when a timer of `until_ms` fires. Both are
/// timers of one event loop, so that a pause of the process delays both.
void CheckEndsWithin(GatewayFixture* fixture, RawClient* caller, int from_ms,
                     int until_ms) {
  std::optional<std::size_t> left;
  QTimer::singleShot(until_ms,
                     [&] { left = fixture->gateway.ActiveRequestCount(); });
  const auto since = MonotonicNow();
  CHECK(caller->WaitClosed(6'000));
  CHECK(MonotonicNow() - since >= Duration(from_ms));
  REQUIRE(WaitUntil([&] { return left.has_value(); }));
  CHECK(*left == 0);
}

}  // namespace

// Guards against LOST: the only upstream of a stream paused for over 1.5 s, and
// the gateway broke the answer off though nothing else could go on with it.
TEST_CASE("a stream survives the silence of its upstream") {
  GatewayFixture fixture;
  RawUpstream pausing(PauseInStream());
  fixture.AddUpstream("a", pausing);

  SUBCASE("when there is no other upstream") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
    CHECK(caller->WaitFor(kEnd, 2'500));
    CHECK(pausing.Requests() == 1);
  }
  SUBCASE("when the others leave") {
    RawUpstream other(PauseInStream(0));
    fixture.AddUpstream("b", other, true);
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
    CHECK(caller->WaitFor(kEnd, 2'500));
    CHECK(other.Requests() == 0);
  }
  SUBCASE("when its attempts are used up") {
    RawUpstream other(PauseInStream(0));
    fixture.SetMaxUpstreams(1);
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.AddUpstream("b", other);
    CHECK(caller->WaitFor(kEnd, 2'500));
    CHECK(other.Requests() == 0);
  }
  SUBCASE("when it may not be resumed") {
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    CHECK(caller->WaitFor(kEnd, 2'500));
  }
  SUBCASE("and goes on elsewhere if it can") {
    RawUpstream other([](auto& connection) {
      const bool resumed = HasReceived(connection, "From: 1");
      SendResponse(connection, "200 OK", resumed ? MakeEvent(2) : "wrong");
    });
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.AddUpstream("b", other);
    CHECK(caller->WaitFor(kEnd, 1'800));
    CHECK(caller->Received().find("id: 2") != std::string::npos);
    CHECK(other.Requests() == 1);
  }
}

// Guards against an answer that is given up because its only upstream needed
// longer than three times the objective for the first byte.
TEST_CASE("a request waits for the first byte of its only upstream") {
  GatewayFixture fixture;
  RawUpstream slow(AnswerAfter(1'200, "200 OK", MakeEvent(1) + MakeEvent(2)));
  fixture.AddUpstream("a", slow);

  SUBCASE("of a stream") {
    CHECK(fixture.SendRequest("resumable")->WaitFor("id: 2", 2'000));
  }
  SUBCASE("of another idempotent request") {
    CHECK(fixture.SendRequest("idempotent")->WaitFor("id: 2", 2'000));
  }
  SUBCASE("until the caller's time is over") {
    auto caller = fixture.SendRequest("idempotent", "Allowed-Ms: 300\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 ", 1'000));
    CHECK(caller->Received().starts_with("HTTP/1.1 504"));
  }
}

// Guards against LOST: a stream was broken off after a second of silence once
// its caller's time was over, though the caller still waited.
TEST_CASE("a started stream ends at its route's timeout") {
  GatewayFixture fixture;

  SUBCASE("and not at its caller's, even if silent for longer than a second") {
    RawUpstream pausing(PauseInStream());
    fixture.AddUpstream("a", pausing);
    auto caller = fixture.SendRequest("stream", "Allowed-Ms: 400\r\n");
    REQUIRE(caller->WaitFor("id: 1"));
    CHECK(caller->WaitFor(kEnd, 2'500));
  }
  SUBCASE("if its upstream stays silent") {
    RawUpstream stuck(
        [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
    fixture.AddUpstream("a", stuck);
    auto caller = fixture.SendRequest("stream", "Allowed-Ms: 400\r\n");
    REQUIRE(caller->WaitFor("id: 1"));
    CheckEndsWithin(&fixture, caller.get(), 2'800, 3'300);
  }
}

// Guards against a stream that is broken off at the timeout of an outdated
// configuration while the newest one gives its route longer.
TEST_CASE("a stream that outlasts its route's earlier timeout") {
  GatewayFixture fixture;
  RawUpstream pausing(PauseInStream(1'500));
  fixture.AddUpstream("a", pausing);

  SUBCASE("goes on if the route has a longer one now") {
    fixture.SetTimeouts(Duration(1'000));
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.SetTimeouts(Duration(3'000));
    CHECK(caller->WaitFor(kEnd, 2'000));
  }
  SUBCASE("keeps its time if the route has a shorter one now") {
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.SetTimeouts(Duration(500));
    CHECK(caller->WaitFor(kEnd, 2'000));
  }
  SUBCASE("ends at it if the route has not changed") {
    fixture.SetTimeouts(Duration(1'000));
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    CheckEndsWithin(&fixture, caller.get(), 800, 1'300);
  }
}

// Guards against LOST: a stopped stream was given up because the engine needed
// over 1.5 s to copy its KV cache before it responded to the order to move.
TEST_CASE("a stream waits for the response to its move") {
  GatewayFixture fixture;
  fixture.SetTimeouts(Duration(6'000));
  RawUpstream::Connection* stream = nullptr;
  bool responds = true;
  RawUpstream leaving([&](auto& connection) {
    if (HasReceived(connection, "POST /move")) {
      stream->socket->abort();
      QTimer::singleShot(1'900, connection.socket, [&] {
        if (!responds) return connection.socket->abort();
        SendResponse(connection, "200 OK", "copy-7");
      });
      return;
    }
    if (HasReceived(connection, "GET /report")) {
      return SendResponse(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream other([](auto& connection) {
    const bool moved = HasReceived(connection, "Copy: copy-7");
    SendResponse(connection, "200 OK", moved ? MakeEvent(3) : "wrong");
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("stream");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);
  fixture.AddUpstream("a", leaving, true);

  SUBCASE("and continues elsewhere") {
    REQUIRE(caller->WaitFor(kEnd));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
  }
  SUBCASE("and ends when the engine's connection breaks") {
    responds = false;
    CheckEndsWithin(&fixture, caller.get(), 2'000, 5'000);
  }
}

// Guards against LOST: a stream left an upstream that was silent for 1.5 s,
// could not connect to the next one, and was broken off since its retry, which
// had not been used, was the last of the budget.
TEST_CASE("a stream that leaves a silent upstream with the last retry") {
  GatewayFixture fixture;
  fixture.gateway.SeedSharedLimits(1'000, {});  // Leaves each one retry.
  RawUpstream silent(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  RawUpstream sound([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(2));
  });
  QTcpServer unreachable;
  REQUIRE(unreachable.listen(QHostAddress(QHostAddress::LocalHost), 0));
  const PacketDrop drop(unreachable.socketDescriptor());
  REQUIRE(drop.IsActive());
  fixture.AddUpstream("a", silent);
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  auto entry = *fixture.gateway.upstreams().Find("a");
  entry.id = "b";
  entry.endpoint.port = unreachable.serverPort();
  fixture.gateway.ApplyUpstream(entry);
  // While the connection to the second one is attempted.
  QTimer::singleShot(1'700, [&] { fixture.AddUpstream("c", sound); });

  CHECK(caller->WaitFor(kEnd, 2'800));
  CHECK(caller->Received().find("id: 2") != std::string::npos);
  CHECK(sound.Requests() == 1);
}

}  // namespace firmoor
