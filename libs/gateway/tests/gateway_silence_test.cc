#include <doctest/doctest.h>

#include <QJsonObject>
#include <QTimer>
#include <memory>
#include <string>

#include "gateway_fixture.h"
#include "log_pipe.h"
#include "support/reserved_port.h"

namespace firmoor {
namespace {

constexpr std::string_view kEnd = "0\r\n\r\n";
// The gateway tries another upstream after 1,500 ms between two events, or
// after three objectives (600 ms) before the head.
constexpr int kPauseInStreamMs = 1'900;
constexpr int kPauseBeforeHeadMs = 1'200;

/// Sends event 1, pauses, and completes the stream with event 2.
void PauseInStream(RawUpstream::Connection& connection,
                   int pause_ms = kPauseInStreamMs) {
  const auto size = MakeEvent(1).size() + MakeEvent(2).size();
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
      "\r\n\r\n" + MakeEvent(1)));
  QTimer::singleShot(pause_ms, connection.socket, [s = connection.socket] {
    s->write(QByteArray::fromStdString(MakeEvent(2)));
  });
}

/// Pauses before the head of a complete response.
void PauseBeforeHead(RawUpstream::Connection& connection,
                     const std::string& body,
                     int pause_ms = kPauseBeforeHeadMs) {
  QTimer::singleShot(pause_ms, connection.socket, [&connection, body] {
    SendResponse(connection, "200 OK", body);
  });
}

void Reject(RawUpstream::Connection& connection) {
  SendResponse(connection, "503 Service Unavailable\r\nNot-Run: 1", "");
}

/// A stream whose upstream "a" pauses after event 1, when "b" is added.
struct PausedStream {
  GatewayFixture fixture;
  RawUpstream a{[](auto& connection) { PauseInStream(connection); }};
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
    RawUpstream b(Reject);
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
    stream.fixture.AddUpstream("b", Endpoint{"127.0.0.1", ReservePort()});
    CHECK(stream.Completes());
  }
  SUBCASE("that is silent before its head") {
    RawUpstream b([](auto& connection) {
      PauseBeforeHead(connection, MakeEvent(2), kPauseInStreamMs);
    });
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
      QTimer::singleShot(100, connection.socket,
                         [s = connection.socket] { s->abort(); });
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
  RawUpstream b([](auto& connection) {
    const auto size = MakeEvent(2).size() + MakeEvent(3).size();
    connection.socket->write(QByteArray::fromStdString(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
        "\r\n\r\n" + MakeEvent(2)));
    QTimer::singleShot(800, connection.socket, [s = connection.socket] {
      s->write(QByteArray::fromStdString(MakeEvent(3)));
    });
  });
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
  RawUpstream a([](auto& connection) { PauseBeforeHead(connection, "of-a"); });
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));

  SUBCASE("that rejects it") {
    RawUpstream b(Reject);
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
  RawUpstream a([](auto& connection) {
    QTimer::singleShot(kPauseBeforeHeadMs, connection.socket,
                       [s = connection.socket] { s->abort(); });
  });
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));
  RawUpstream b(Reject);
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
  RawUpstream a([](auto& connection) { PauseBeforeHead(connection, "of-a"); });
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
