#include <doctest/doctest.h>

#include <QJsonObject>
#include <memory>
#include <string>

#include "gateway_fixture.h"
#include "silent_upstreams.h"
#include "support/log_pipe.h"

namespace firmoor {
namespace {

/// A stream whose upstream breaks off after its first event.
struct BreakingStream {
  RawUpstream::Connection* connection = nullptr;
  RawUpstream first{[this](auto& opened) {
    connection = &opened;
    StartEventStream(opened, MakeEvent(1));
  }};
  RawUpstream other{
      [](auto& opened) { SendResponse(opened, "200 OK", MakeEvent(2)); }};

  std::unique_ptr<RawClient> Begin(GatewayFixture* fixture,
                                   const std::string& headers = "") {
    fixture->AddUpstream("a", first, false, "v1");
    auto caller = fixture->SendRequest("resumable", headers);
    REQUIRE(caller->WaitFor("id: 1"));
    return caller;
  }
  void BreakOff() const { connection->socket->abort(); }
};

}  // namespace

// Guards against answers that end incomplete while no line of the log says who
// closed the connection and why.
TEST_CASE("each answer that ends incomplete has a line in the log") {
  LogPipe log;
  GatewayFixture fixture(true, log.input());

  SUBCASE("when the upstream broke off") {
    RawUpstream breaking([](auto& connection) {
      StartEventStream(connection, MakeEvent(1));
      connection.socket->disconnectFromHost();
    });
    fixture.AddUpstream("a", breaking);
    CHECK(fixture.SendRequest("stream")->WaitClosed());
    const auto line = log.OnlyLine("answer-cut");
    CHECK(line["request"].toString() == "r1");
    CHECK(line["by"].toString() == "daemon");
    CHECK(line["reason"].toString() == "upstream-incomplete");
    CHECK(line["end"].toString() == "truncated");
    CHECK(line["upstream"].toString() == "a");
    CHECK(line["passed_on"].toBool());
    CHECK(line["started"].toBool());
    CHECK(line["events"].toInt() == 1);
    CHECK(line["route_time_ms"].toInt() == 3'000);
    CHECK(line["caller_time_ms"].toInt() == 3'000);
  }
  SUBCASE("when the upstream that replaced a silent one did not serve it") {
    RawUpstream silent(
        [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
    RawUpstream other(RejectNotRun);
    fixture.AddUpstream("a", silent);
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.AddUpstream("b", other);
    CHECK(caller->WaitClosed());
    CHECK(log.OnlyLine("attempt-failed")["next"].toString() == "go-on");
    const auto line = log.OnlyLine("answer-cut");
    CHECK(line["reason"].toString() == "upstream-timeout");
    CHECK(line["running"].toString().startsWith("a:"));
    CHECK(line["beside"].toInt() == 1);
    CHECK(line["left_silent"].toString().isEmpty());
  }
  SUBCASE("when its time was over") {
    RawUpstream stuck(
        [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
    fixture.AddUpstream("a", stuck);
    CHECK(fixture.SendRequest("stream", "Allowed-Ms: 900\r\n")->WaitClosed());
    const auto line = log.OnlyLine("answer-cut");
    CHECK(line["reason"].toString() == "upstream-timeout");
    CHECK(line["end"].toString().isEmpty());
    CHECK(line["caller_time_ms"].toInt() == 900);
    CHECK(line["silent_ms"].toInt() >= 1'000);
    CHECK(line["total_ms"].toInt() >= line["silent_ms"].toInt());
  }
  SUBCASE("when the caller left") {
    RawUpstream busy([](auto&) {});
    fixture.AddUpstream("a", busy);
    auto caller = fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    REQUIRE(
        WaitUntil([&] { return fixture.gateway.ActiveRequestCount() == 0; }));
    const auto line = log.OnlyLine("answer-cut");
    CHECK(line["by"].toString() == "caller");
    CHECK(line["passed_on"].toBool());
    CHECK_FALSE(line["started"].toBool());
  }
  SUBCASE("but complete answers and refusals have none") {
    RawUpstream good([](auto& connection) {
      SendResponse(connection, "200 OK", MakeEvent(1));
    });
    CHECK(fixture.SendRequest("stream")->WaitFor("HTTP/1.1 503"));
    fixture.AddUpstream("a", good);
    CHECK(fixture.SendRequest("stream")->WaitFor(kEnd));
    CHECK(log.OnlyLine("answer-cut").isEmpty());
  }
}

// Guards against a stream that is broken off since it cannot be resumed while
// no line of the log says why.
TEST_CASE("a stream that cannot be resumed ends with the reason in the log") {
  LogPipe log;
  GatewayFixture fixture(false, log.input());
  BreakingStream stream;
  const auto check_cut = [&](RawClient* caller, const QString& reason) {
    stream.BreakOff();
    CHECK(caller->WaitClosed(500));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
    CHECK(stream.other.Requests() == 0);
    const auto line = log.OnlyLine("answer-cut");
    CHECK(line["by"].toString() == "daemon");
    CHECK(line["reason"].toString() == reason);
    CHECK(line["end"].toString() == "truncated");
    CHECK(line["upstream"].toString() == "a");
    CHECK(line["started"].toBool());
    CHECK(fixture.gateway.ActiveRequestCount() == 0);
  };

  SUBCASE("when there is no other upstream") {
    fixture.Configure();
    const auto caller = stream.Begin(&fixture);
    check_cut(caller.get(), "no-upstream");
  }
  SUBCASE("when no upstream of its software version is left") {
    fixture.Configure();
    const auto caller = stream.Begin(&fixture);
    fixture.AddUpstream("b", stream.other, false, "v2");
    fixture.gateway.RemoveUpstream("a");
    check_cut(caller.get(), "stream-version-gone");
  }
  SUBCASE("when its software version is in doubt") {
    fixture.Configure();
    const auto caller = stream.Begin(&fixture);
    auto replaced = *fixture.gateway.upstreams().Find("a");
    fixture.AddUpstream("b", stream.other, false, "v1");
    replaced.software_version = "v2";
    replaced.born_ms = WallClockMs() - 5'000;
    fixture.gateway.ApplyUpstream(replaced);
    check_cut(caller.get(), "stream-version-unknown");
  }
  SUBCASE("when its key cannot be verified any more") {
    constexpr Duration kFreshFor{700};
    const auto bound = fixture.gateway.freshness().bound();
    fixture.Configure(MonotonicNow() - bound + kFreshFor);
    fixture.RequireKeys(0, 0);
    const auto caller = stream.Begin(&fixture, "Key: k\r\n");
    fixture.AddUpstream("b", stream.other, false, "v1");
    REQUIRE(WaitUntil(
        [&] { return !fixture.gateway.freshness().IsFresh(MonotonicNow()); }));
    check_cut(caller.get(), "not-ready");
  }
}

// Guards against a stream that ends early since its key was revoked after it
// had been admitted.
TEST_CASE("a stream whose key is revoked is resumed as it was admitted") {
  GatewayFixture fixture;
  fixture.RequireKeys(0, 0);
  BreakingStream stream;
  const auto caller = stream.Begin(&fixture, "Key: k\r\n");
  fixture.AddUpstream("b", stream.other, false, "v1");
  fixture.Reconfigure(
      [](auto* content) { content->workspaces.front().keys = {"other"}; });
  fixture.gateway.ConfirmRoutes(MonotonicNow());
  stream.BreakOff();
  CHECK(caller->WaitFor(kEnd));
  CHECK(caller->Received().find("id: 2") != std::string::npos);
  const auto next = fixture.SendRequest("resumable", "Key: k\r\n");
  REQUIRE(next->WaitFor("HTTP/1.1 "));
  CHECK(next->Received().starts_with("HTTP/1.1 401"));
}

// Guards against a caller that waits without an end: a stream broke off, the
// next upstream answered with an error, and the error was sent into the started
// stream, which nobody ended.
TEST_CASE(
    "a stream that is resumed at an upstream that answers with an error") {
  GatewayFixture fixture;
  BreakingStream stream;
  const auto caller = stream.Begin(&fixture);
  std::string status;
  SUBCASE("of the server") { status = "500 Internal Server Error"; }
  SUBCASE("of the request") { status = "404 Not Found"; }
  RawUpstream failing([&](auto& opened) { SendResponse(opened, status, "x"); });
  fixture.AddUpstream("b", failing, false, "v1");
  stream.BreakOff();
  CHECK(caller->WaitClosed(1'000));
  CHECK(fixture.gateway.ActiveRequestCount() == 0);
}

}  // namespace firmoor
