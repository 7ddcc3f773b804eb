#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "silent_upstreams.h"

namespace firmoor {
namespace {

/// Answers a report with the time to its shutdown. Returns whether it did.
bool ReportsShutdown(RawUpstream::Connection& connection) {
  if (!HasReceived(connection, "GET /report")) return false;
  SendResponse(connection, "200 OK", "1800");
  return true;
}

}  // namespace

// Guards against LOST: a stream whose engine neither sent events nor answered
// the order to move waited for both until its route's timeout.
TEST_CASE("a stream whose engine and its move are silent goes on elsewhere") {
  GatewayFixture fixture;
  fixture.SetTimeouts(Duration(6'000));
  fixture.SetMaxUpstreams(3);
  RawUpstream leaving([&](auto& connection) {
    if (HasReceived(connection, "POST /move") || ReportsShutdown(connection)) {
      return;
    }
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream other([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(3));
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);
  fixture.AddUpstream("a", leaving, true);
  CHECK(caller->WaitFor(kEnd, 4'500));
  CHECK(caller->Received().find("id: 3") != std::string::npos);
}

// Guards against a stream that is cut off since the upstream before it had
// ended its stream during a move that another upstream overtook.
TEST_CASE("a move that was overtaken says nothing about the next one") {
  GatewayFixture fixture;
  fixture.SetTimeouts(Duration(12'000));
  fixture.SetMaxUpstreams(3);
  RawUpstream::Connection* stream = nullptr;
  RawUpstream a([&](auto& connection) {
    if (HasReceived(connection, "POST /move")) return stream->socket->abort();
    if (ReportsShutdown(connection)) return;
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  bool is_ordered = false;
  RawUpstream b([&](auto& connection) {
    if (HasReceived(connection, "POST /move")) {
      is_ordered = true;
      return SendResponse(connection, "404 Not Found", "");
    }
    if (ReportsShutdown(connection)) return;
    SendEvents({{3, 0}, {4, 1'000}, {5, 2'000}, {6, 3'000}})(connection);
  });
  RawUpstream full(RejectNotRun);
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", b);
  fixture.AddUpstream("a", a, true);
  REQUIRE(caller->WaitFor("id: 3", 5'000));
  fixture.AddUpstream("c", full);
  fixture.AddUpstream("b", b, true);
  CHECK(caller->WaitFor(kEnd, 5'000));
  CHECK(is_ordered);
  CHECK(caller->Received().find("id: 6") != std::string::npos);
}

// Guards against a stream that ends as complete since the order to move it
// closed its connection, which marks the end of such a stream (incident ORDER).
TEST_CASE("a stream that only its close ends and that a move stops") {
  GatewayFixture fixture;
  fixture.SetTimeouts(Duration(6'000));
  fixture.SetMaxUpstreams(3);
  RawUpstream::Connection* stream = nullptr;
  RawUpstream::Connection* order = nullptr;
  RawUpstream leaving([&](auto& connection) {
    if (HasReceived(connection, "POST /move")) {
      order = &connection;
      return stream->socket->disconnectFromHost();
    }
    if (ReportsShutdown(connection)) return;
    stream = &connection;
    connection.socket->write(QByteArray::fromStdString(
        "HTTP/1.1 200 OK\r\n\r\n" + MakeEvent(1) + MakeEvent(2)));
  });
  RawUpstream other([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(3));
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);
  fixture.AddUpstream("a", leaving, true);
  REQUIRE(WaitUntil([&] { return order != nullptr; }));
  RunFor(kPromptlyMs);
  CHECK(caller->Received().find(kEnd) == std::string::npos);
  CHECK(other.Requests() == 0);

  SUBCASE("goes on with its copy") {
    SendResponse(*order, "200 OK", "handle");
    CHECK(caller->WaitFor("id: 3"));
    CHECK(caller->WaitFor(kEnd));
  }
  SUBCASE("goes on elsewhere if its answer is none") {
    order->socket->write("HTTP/1.1 200 OK\r\n\r\n");
    order->socket->disconnectFromHost();
    CHECK(caller->WaitFor("id: 3"));
    CHECK(caller->WaitFor(kEnd));
  }
  SUBCASE("goes on elsewhere if the order is lost") {
    order->socket->abort();
    CHECK(caller->WaitFor("id: 3"));
    CHECK(caller->WaitFor(kEnd));
  }
}

}  // namespace firmoor
