#include <doctest/doctest.h>

#include <QTimer>
#include <string>
#include <utility>
#include <vector>

#include "silent_upstreams.h"

namespace firmoor {
namespace {

constexpr int kNever = 60'000;

void Write(RawUpstream& upstream, const std::string& bytes) {
  WithRequest(upstream).socket->write(QByteArray::fromStdString(bytes));
  WithRequest(upstream).socket->flush();
}

/// Sends event 1 of a stream of three; the test sends the others.
void BeginStream(RawUpstream::Connection& connection) {
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 200 OK\r\nContent-Length: " +
      std::to_string(3 * MakeEvent(1).size()) + "\r\n\r\n" + MakeEvent(1)));
}

}  // namespace

// Guards against LOST and ORDER: the attempts of a stream that has two at the
// same time end each other, or both forward their events.
TEST_CASE("of two attempts of a stream the first to go on has it") {
  SUBCASE("the silent one, while the other one is as silent") {
    RacedRequest request(SendEvents({{1, 0}, {2, 1'900}, {3, 1'950}}),
                         SendEvents({{2, 800}, {3, 900}}));
    request.StartStream();
    REQUIRE(request.WaitForSecond());
    CHECK(request.caller->WaitFor(kEnd, 700));
    CHECK(HasEvents(*request.caller, {1, 2, 3}));
    CHECK(
        WaitUntil([&] { return IsClosed(WithRequest(request.b)); }, kCancelMs));
    CHECK(request.HasMetric("started", 1));
    CHECK(request.HasMetric("overtaken", 1));
    CHECK(request.HasMetric("took-over", 0));
    const auto beside = request.log.OnlyLine("attempt-beside");
    CHECK(beside["in_flight"].toString().startsWith("a:1"));
    CHECK(beside["events"].toInt() == 1);
    const auto overtaken = request.log.OnlyLine("attempt-overtaken");
    CHECK(overtaken["upstream"].toString() == "b");
    CHECK(overtaken["by"].toString() == "a");
    CHECK(overtaken["may_have_left"].toBool());
  }
  // Guards against a cancelled attempt that stays connected: its late events
  // ended the attempt that had taken over, and were forwarded twice.
  SUBCASE("the second one, whatever the first one sends later") {
    RacedRequest request(SendEvents({{1, 0}, {2, 1'900}, {3, 1'950}}),
                         SendEvents({{2, 50}, {3, 700}}));
    request.StartStream();
    REQUIRE(request.caller->WaitFor("id: 2", 1'800));
    CHECK(WaitUntil([&] { return IsClosed(WithRequest(request.a)); }, 200));
    CHECK(request.caller->WaitFor(kEnd, 1'000));
    CHECK(HasEvents(*request.caller, {1, 2, 3}));
    CHECK(request.a.Requests() == 1);
    CHECK(request.HasMetric("took-over", 1));
    CHECK(request.HasMetric("overtaken", 0));
    const auto overtaken = request.log.OnlyLine("attempt-overtaken");
    CHECK(overtaken["upstream"].toString() == "a");
    // Timers of this length may fire 5 % early.
    CHECK(overtaken["silent_ms"].toInt() >= 1'425);
    const auto line = request.log.OnlyLine("request");
    CHECK(line["upstream"].toString() == "b");
    CHECK(line["beside"].toInt() == 1);
    CHECK(line["sends"].toInt() == 2);
  }
  SUBCASE("one of them when both go on at the same moment") {
    RacedRequest request(BeginStream, [](auto&) {});
    request.StartStream();
    REQUIRE(request.WaitForSecond());
    const auto rest = MakeEvent(2) + MakeEvent(3);
    Write(request.a, rest);
    Write(request.b, "HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(rest.size()) + "\r\n\r\n" + rest);
    CHECK(request.caller->WaitFor(kEnd, 500));
    RunFor(50);
    CHECK(HasEvents(*request.caller, {1, 2, 3}));
    CHECK(request.InFlight() == 0);
  }
  SUBCASE("the second one before the first event") {
    RacedRequest request(SendEvents({{1, 1'200}}),
                         SendEvents({{1, 50}, {2, 800}}));
    request.Start("resumable");
    REQUIRE(request.caller->WaitFor("id: 1", 1'000));
    CHECK(request.caller->WaitFor(kEnd, 1'200));
    CHECK(HasEvents(*request.caller, {1, 2}));
  }
  SUBCASE("the second one's complete answer") {
    RacedRequest request(AnswerAfter(1'200, "200 OK", "of-a"),
                         AnswerAfter(50, "200 OK", "of-b"));
    request.Start("idempotent");
    REQUIRE(request.caller->WaitFor("of-b", 1'000));
    CHECK(
        WaitUntil([&] { return IsClosed(WithRequest(request.a)); }, kCancelMs));
    CHECK(request.caller->Received().find("of-a") == std::string::npos);
    // Guards against a line that names the upstream that did not answer.
    const auto line = request.log.OnlyLine("request");
    CHECK(line["upstream"].toString() == "b");
    CHECK(line["status"].toInt() == 200);
    CHECK(line["sends"].toInt() == 2);
  }
}

// Guards against a line that does not tell which upstream a broken stream had
// left while it was silent.
TEST_CASE("a stream that breaks off after its second attempt took over") {
  RacedRequest request(SendEvents({{1, 0}, {2, kNever}}), [](auto& connection) {
    StartEventStream(connection, MakeEvent(2));
    BreakAfter(100)(connection);
  });
  request.StartStream();
  REQUIRE(request.caller->WaitClosed(2'500));
  CHECK(HasEvents(*request.caller, {1, 2}));
  const auto line = request.log.OnlyLine("answer-cut");
  CHECK(line["upstream"].toString() == "b");
  CHECK(line["left_silent"].toString().startsWith("a:1"));
  CHECK(line["beside"].toInt() == 1);
  CHECK(line["running"].toString().isEmpty());
}

// Guards against LOST: an upstream that sent only a comment was taken to go on
// with the stream, and the attempt that would have gone on was cancelled.
TEST_CASE("a comment of a silent upstream does not overtake another attempt") {
  RacedRequest request(BeginStream, SendEvents({{2, 600}}));
  request.StartStream();
  REQUIRE(request.WaitForSecond());
  SUBCASE("a whole one") { Write(request.a, ": ping\n\n"); }
  SUBCASE("a part of one") { Write(request.a, ": pi"); }
  CHECK(request.caller->WaitFor(kEnd, 1'000));
  CHECK(HasEvents(*request.caller, {1, 2}));
  CHECK(request.HasMetric("took-over", 1));
}

// Guards against attempts that outlive their request.
TEST_CASE("a request with two attempts in flight ends both") {
  RacedRequest request(SendEvents({{1, 0}, {2, kNever}}),
                       SendEvents({{2, kNever}}));

  SUBCASE("when its caller leaves") {
    request.StartStream();
    REQUIRE(request.WaitForSecond());
    request.caller->Leave();
    CHECK(request.WaitBothClosed());
    const auto line = request.log.OnlyLine("answer-cut");
    CHECK(line["by"].toString() == "caller");
    CHECK(line["beside"].toInt() == 1);
    const auto running = line["running"].toString();
    CHECK(running.startsWith("a:1"));
    CHECK(running.contains(" b:"));
  }
  SUBCASE("at its route's timeout") {
    request.fixture.SetTimeouts(Duration(2'000));
    request.StartStream();
    REQUIRE(request.WaitForSecond());
    CHECK(request.caller->WaitClosed(800));
    CHECK(request.WaitBothClosed());
    CHECK(request.log.OnlyLine("answer-cut")["by"].toString() == "daemon");
    const auto line = request.log.OnlyLine("request");
    CHECK(line["code"].toString() == "upstream-timeout");
    CHECK(line["running"].toString().contains(" b:"));
    // Guards against a line that does not count the attempts in flight.
    CHECK(line["sends"].toInt() == 2);
  }
  SUBCASE("when the process exits") {
    request.StartStream();
    REQUIRE(request.WaitForSecond());
    request.fixture.gateway.EndRequests();
    CHECK(request.caller->WaitClosed(kCancelMs));
    CHECK(request.WaitBothClosed());
  }
  CHECK(WaitUntil(
      [&] { return request.fixture.gateway.ActiveRequestCount() == 0; },
      kCancelMs));
  CHECK(HasEvents(*request.caller, {1}));
  CHECK(request.InFlight() == 0);
}

// Guards against a caller that repeats a request which may have run, since
// another attempt of it was rejected as not run.
TEST_CASE("what callers are told of a request that has two attempts") {
  const auto is_not_run = [](RawClient& caller) {
    return caller.Received().starts_with("HTTP/1.1 503") ||
           caller.Received().find("Firmoor-Outcome: not-run") !=
               std::string::npos;
  };

  SUBCASE("the first breaks after the second was rejected: unknown") {
    RacedRequest request(BreakAfter(1'000), RejectNotRun);
    request.Start("idempotent");
    REQUIRE(request.caller->WaitFor("HTTP/1.1 ", 2'000));
    CHECK(request.b.Requests() == 1);
    CHECK(!is_not_run(*request.caller));
  }
  SUBCASE("the first breaks before the second is rejected: unknown") {
    RacedRequest request(BreakAfter(700), AnswerAfter(300, kNotRun, ""));
    request.Start("idempotent");
    REQUIRE(request.caller->WaitFor("HTTP/1.1 ", 2'000));
    CHECK(request.b.Requests() == 1);
    CHECK(!is_not_run(*request.caller));
  }
  SUBCASE("the first breaks after the second answered with an error: this") {
    RacedRequest request(BreakAfter(1'000),
                         AnswerAfter(0, "500 Internal Server Error", "of-b"));
    request.Start("idempotent");
    CHECK(request.caller->WaitFor("of-b", 2'000));
    CHECK(!is_not_run(*request.caller));
    CHECK(request.HasMetric("dropped", 1));
  }
  // Guards against an answer that is thrown away for a further attempt which
  // finds no upstream.
  SUBCASE("the only upstream answers with an error: this") {
    RacedRequest request(AnswerAfter(0, "500 Internal Server Error", "of-a"),
                         RejectNotRun);
    request.StartAtFirst("idempotent");
    CHECK(request.caller->WaitFor("of-a", 500));
    const auto line = request.log.OnlyLine("request");
    CHECK(line["outcome"].toString() == "failure-passed");
  }
  SUBCASE("the first breaks, and the last answers with an error: this") {
    RacedRequest request(BreakAfter(200),
                         AnswerAfter(0, "500 Internal Server Error", "of-b"));
    // Leaves it more retries than it can use.
    request.fixture.gateway.SeedSharedLimits(1, {});
    request.fixture.SetMaxUpstreams(4);
    request.Start("idempotent");
    CHECK(request.caller->WaitFor("of-b", 1'000));
  }
  SUBCASE("both are rejected: not run") {
    RacedRequest request(AnswerAfter(1'000, kNotRun, ""), RejectNotRun);
    request.Start("idempotent");
    REQUIRE(request.caller->WaitFor("HTTP/1.1 ", 2'000));
    CHECK(request.b.Requests() == 1);
    CHECK(is_not_run(*request.caller));
  }
  SUBCASE("the first is rejected and the second has no connection: not run") {
    RacedRequest request(AnswerAfter(1'000, kNotRun, ""), RejectNotRun);
    request.StartAtFirst("idempotent");
    request.fixture.AddUpstream("b", ClosedPort());
    REQUIRE(request.caller->WaitFor("HTTP/1.1 ", 2'000));
    CHECK(is_not_run(*request.caller));
  }
}

// Guards against two upstreams that work on one stream at the same time: the
// second had begun the next event, and the silent one was kept until its end.
TEST_CASE("a silent upstream is left once another one has begun the event") {
  GatewayFixture fixture;
  RawUpstream a(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  RawUpstream b([](auto& connection) {
    StartEventStream(connection, MakeEvent(2).substr(0, 5));
  });
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  const auto* first = a.At(0).socket;
  fixture.AddUpstream("b", b);
  REQUIRE(WaitUntil([&] { return b.Requests() == 1; }, 1'800));
  CHECK(WaitUntil([&] { return first->state() != QTcpSocket::ConnectedState; },
                  400));
}

// Guards against requests that are refused for want of a retry which another
// request had taken and did not use.
TEST_CASE("a retry that a second attempt did not use is free for others") {
  GatewayFixture fixture;
  fixture.gateway.SeedSharedLimits(1'000, {});  // Leaves each one retry.
  RawUpstream a([](auto& connection) {
    StartEventStream(connection, MakeEvent(1));
    QTimer::singleShot(1'800, connection.socket, [s = connection.socket] {
      s->write(QByteArray::fromStdString(MakeEvent(2)));
    });
  });
  fixture.AddUpstream("a", a);
  auto stream = fixture.SendRequest("resumable");
  REQUIRE(stream->WaitFor("id: 1"));
  const auto closed = ClosedPort();
  fixture.AddUpstream("b", closed);
  REQUIRE(stream->WaitFor("id: 2", 2'500));
  fixture.AddUpstream("b", closed, true);
  fixture.AddUpstream("a", a, true);
  int requests = 0;
  const auto break_first = [&](RawUpstream::Connection& connection) {
    if (!HasReceived(connection, "POST /idempotent")) {
      return SendResponse(connection, "200 OK", "0/0");
    }
    if (++requests == 1) return connection.socket->abort();
    SendResponse(connection, "200 OK", "answer");
  };
  RawUpstream c(break_first);
  RawUpstream d(break_first);
  fixture.AddUpstream("c", c);
  fixture.AddUpstream("d", d);
  auto other = fixture.SendRequest("idempotent", "", "r2");
  CHECK(other->WaitFor("answer", 2'000));
  CHECK(requests == 2);
}

}  // namespace firmoor
