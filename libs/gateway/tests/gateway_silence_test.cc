#include <doctest/doctest.h>

#include <QJsonObject>
#include <memory>
#include <string>

#include "silent_upstreams.h"
#include "support/log_pipe.h"

namespace firmoor {
namespace {

// The gateway tries another upstream after three objectives (600 ms) before the
// head.
constexpr int kPauseBeforeHeadMs = 1'200;

/// A stream whose upstream "a" pauses after event 1, when "b" is added.
struct PausedStream {
  GatewayFixture fixture;
  RawUpstream a{PauseInStream()};
  std::unique_ptr<RawClient> caller;

  PausedStream() {
    fixture.AddUpstream("a", a);
    caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
  }
  /// Whether the caller gets the whole stream, each event once.
  [[nodiscard]] bool Completes() const {
    if (!caller->WaitFor(kEnd, 2'500)) return false;
    const auto& text = caller->Received();
    const auto at = text.find("id: 2");
    return at != std::string::npos &&
           text.find("id: 2", at + 1) == std::string::npos &&
           text.find("id: 1", text.find("id: 1") + 1) == std::string::npos;
  }
};

}  // namespace

// Guards against LOST: a stream left an upstream that paused for 1.9 s and was
// broken off when the next upstream did not serve it.
TEST_CASE("a stream whose upstream pauses is not lost to another upstream") {
  PausedStream stream;

  SUBCASE("that rejects it") {
    RawUpstream b(RejectNotRun);
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
    CHECK(b.Requests() == 1);
  }
  SUBCASE("that answers with an error") {
    RawUpstream b([](auto& connection) {
      SendResponse(connection, "500 Internal Server Error", "");
    });
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
  }
  SUBCASE("that resets the connection") {
    RawUpstream b([](auto& connection) { connection.socket->abort(); });
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
  }
  SUBCASE("that refuses the connection") {
    stream.fixture.AddUpstream("b", ClosedPort());
    CHECK(stream.Completes());
  }
  SUBCASE("that is silent before its head") {
    RawUpstream b(AnswerAfter(kPauseInStreamMs, "200 OK", MakeEvent(2)));
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
    CHECK(b.Requests() == 1);
  }
  SUBCASE("that turns out to be leaving") {
    RawUpstream b([](auto& connection) {
      SendResponse(connection,
                   "503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1", "");
    });
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
  }
  SUBCASE("that breaks off within the next event") {
    RawUpstream b([](auto& connection) {
      StartEventStream(connection, "id: 2\nda");
      BreakAfter(100)(connection);
    });
    stream.fixture.AddUpstream("b", b);
    CHECK(stream.Completes());
  }
}

// Guards against events that come twice, and a crash: an upstream that had been
// overtaken kept its connection and went on sending.
TEST_CASE("an upstream that was overtaken has no part in the stream any more") {
  PausedStream stream;
  bool first_closed = false;
  auto* first = stream.a.At(0).socket;
  QObject::connect(first, &QTcpSocket::disconnected, first,
                   [&] { first_closed = true; });
  RawUpstream b(SendEvents({{2, 0}, {3, 800}}));
  stream.fixture.AddUpstream("b", b);
  REQUIRE(stream.caller->WaitFor("id: 2", 1'800));
  CHECK(WaitUntil([&] { return first_closed; }, 400));
  CHECK(stream.Completes());
  CHECK(stream.caller->Received().find("id: 3") != std::string::npos);
}

// Guards against an idempotent request that is refused, and its work thrown
// away, since it left an upstream that would have answered after 1.2 s.
TEST_CASE("a request whose upstream pauses is not lost to another upstream") {
  GatewayFixture fixture;
  RawUpstream a(AnswerAfter(kPauseBeforeHeadMs, "200 OK", "of-a"));
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));

  SUBCASE("that rejects it") {
    RawUpstream b(RejectNotRun);
    fixture.AddUpstream("b", b);
    CHECK(caller->WaitFor("of-a", 2'000));
    CHECK(b.Requests() == 1);
  }
  SUBCASE("that answers with an error") {
    RawUpstream b([](auto& connection) {
      SendResponse(connection, "500 Internal Server Error", "of-b");
    });
    fixture.AddUpstream("b", b);
    CHECK(caller->WaitFor("of-a", 2'000));
  }
  SUBCASE("that resets the connection") {
    RawUpstream b([](auto& connection) { connection.socket->abort(); });
    fixture.AddUpstream("b", b);
    CHECK(caller->WaitFor("of-a", 2'000));
  }
}

// Guards against a request that is reported as not run, by the rejection of a
// second upstream, though the first one may have run it.
TEST_CASE("a rejection beside a silent upstream is not passed on") {
  GatewayFixture fixture;
  RawUpstream a(BreakAfter(kPauseBeforeHeadMs));
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));
  RawUpstream b(RejectNotRun);
  fixture.AddUpstream("b", b);
  REQUIRE(caller->WaitFor("HTTP/1.1 ", 2'000));
  CHECK(b.Requests() == 1);
  CHECK(caller->Received().find("HTTP/1.1 503") == std::string::npos);
  CHECK(caller->WaitFor("unknown", 200));
}

// Guards against a log that names the cancelled upstream as the one that
// answered.
TEST_CASE("a request is logged with the upstream that answered it") {
  LogPipe log;
  GatewayFixture fixture(true, log.input());
  RawUpstream a(AnswerAfter(kPauseBeforeHeadMs, "200 OK", "of-a"));
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));
  RawUpstream b(
      [](auto& connection) { SendResponse(connection, "200 OK", "of-b"); });
  fixture.AddUpstream("b", b);
  REQUIRE(caller->WaitFor("of-b", 1'000));
  const auto line = log.OnlyLine("request");
  CHECK(line["upstream"].toString() == "b");
  CHECK(line["status"].toInt() == 200);
  CHECK(log.OnlyLine("attempt-overtaken")["request"].toString() == "r1");
}

}  // namespace firmoor
