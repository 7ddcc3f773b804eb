#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture.h"
#include "serving/close_delimited_streams.h"

namespace firmoor {
namespace {

/// Sends two events, or nothing behind them, and closes the connection in
/// order.
void CloseBehindEvents(RawUpstream::Connection& connection) {
  const bool is_resumed = HasReceived(connection, "From: 2");
  const auto events = is_resumed ? std::string() : MakeEvent(1) + MakeEvent(2);
  connection.socket->write(
      QByteArray::fromStdString("HTTP/1.1 200 OK\r\n\r\n" + events));
  connection.socket->flush();
  connection.socket->disconnectFromHost();
}

}  // namespace

// Guards against sound streams that are broken off since they end at the same
// time as the first of their software (incident LOST).
TEST_CASE("the end of a stream of software that is not known yet") {
  GatewayFixture fixture;
  RawUpstream upstream(CloseBehindEvents);
  AnswerReports(&upstream);
  fixture.AddUpstream("a", upstream);
  const auto verify = [&] {
    auto caller =
        fixture.SendRequest("resumable", "Seen: 2\r\nStream-Id: r1\r\n", "r2");
    REQUIRE(caller->WaitFor(kEnd));
  };
  // Those that are broken off at once are enough to verify ends.
  for (std::uint32_t i = 0; i < CloseDelimitedStreams::kMinWhole; ++i) {
    auto first = fixture.SendRequest("resumable");
    REQUIRE(first->WaitClosed(kPromptlyMs));
    CHECK(first->Received().find(kEnd) == std::string::npos);
  }
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  CHECK_FALSE(caller->WaitClosed(100));

  SUBCASE("is complete once enough others were") {
    for (std::uint32_t i = 0; i < CloseDelimitedStreams::kMinWhole; ++i) {
      verify();
    }
    CHECK(caller->WaitFor(kEnd));
  }
  SUBCASE("is broken off at once if one of them was cut") {
    RawUpstream cutting([](auto& connection) {
      connection.socket->write("HTTP/1.1 200 OK\r\n\r\nid: 1\nda");
      connection.socket->flush();
      connection.socket->disconnectFromHost();
    });
    AnswerReports(&cutting);
    fixture.AddUpstream("b", cutting);
    fixture.AddUpstream("a", upstream, true);
    auto other = fixture.SendRequest("stream");
    CHECK(caller->WaitClosed(500));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
  SUBCASE("is broken off at once if the daemon stops") {
    fixture.gateway.EndRequests();
    CHECK(caller->WaitClosed(500));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
    CHECK(fixture.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("is forgotten if its caller leaves") {
    caller.reset();
    CHECK(WaitUntil([&] { return fixture.gateway.ActiveRequestCount() == 0; }));
    for (std::uint32_t i = 0; i < CloseDelimitedStreams::kMinWhole; ++i) {
      verify();
    }
  }
  SUBCASE("is broken off if nothing is learned") {
    CHECK(caller->WaitClosed(2'000));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
}

}  // namespace firmoor
