#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "delegation_fleet.h"
#include "details/delegation_messages.h"

namespace firmoor {
namespace {

using details::DelegatedRequest;

// After its caller has left, a request occupies an upstream no longer than
// this.
constexpr int kReleaseMs = 500;

/// The value of a header in the request that an upstream received.
std::string ReceivedHeader(const RawUpstream::Connection& connection,
                           const std::string& name) {
  const auto start = connection.received.find("\r\n" + name + ": ");
  if (start == std::string::npos) return "";
  const auto from = start + name.size() + 4;
  return connection.received.substr(
      from, connection.received.find("\r\n", from) - from);
}

}  // namespace

TEST_CASE("a request whose daemon reaches no upstream") {
  Daemon sender("sender");
  Daemon helper("helper");
  Introduce({&sender, &helper});
  sender.fixture.AddUpstream("a", ClosedPort());

  SUBCASE("is served through another daemon") {
    RawUpstream upstream([](auto& connection) {
      SendResponse(connection, "200 OK\r\nSeal: s7", "answer");
    });
    helper.fixture.AddUpstream("b", upstream);
    std::string route;
    SUBCASE("if it may be repeated") { route = "idempotent"; }
    SUBCASE("if it must not be repeated") { route = "once"; }
    const auto caller = sender.fixture.SendRequest(route);
    REQUIRE(caller->WaitFor("answer"));
    CHECK(caller->Received().starts_with("HTTP/1.1 200"));
    CHECK(HeadOf(caller->Received()).find("Seal: s7") != std::string::npos);
    CHECK(upstream.Requests() == 1);
    CHECK(upstream.At(0).received.ends_with("body"));
    CHECK(ReceivedHeader(upstream.At(0), "Id") == "r1");
    CHECK(ReceivedHeader(upstream.At(0), "Upstream") == "b");
    RunFor(20);
    CHECK(sender.fixture.gateway.ActiveRequestCount() == 0);
    CHECK(helper.fixture.gateway.ActiveRequestCount() == 0);

    const auto delegated = sender.log.OnlyLine("delegated");
    CHECK(delegated["request"].toString() == "r1");
    CHECK(delegated["to"].toString() == "helper");
    CHECK(delegated["service"].toString() == "s");
    const auto delegation = helper.log.OnlyLine("delegation");
    CHECK(delegation["request"].toString() == "r1");
    CHECK(delegation["from"].toString() == "sender");
    CHECK(delegation["answer"].toString() == "accepted");
    const auto sent = sender.log.OnlyLine("request");
    CHECK(sent["delegated_to"].toString() == "helper");
    CHECK(sent["delegated_by"].toString().isEmpty());
    CHECK(sent["outcome"].toString() == "answered");
    const auto served = helper.log.OnlyLine("request");
    CHECK(served["delegated_to"].toString().isEmpty());
    CHECK(served["delegated_by"].toString() == "sender");
    CHECK(served["upstream"].toString() == "b");
  }
  // Guards against delegated requests that nobody serves, since the helper
  // excludes the upstreams to which the sender found no connection.
  SUBCASE("is served by an upstream that the sender could not connect") {
    RawUpstream first(
        [](auto& connection) { SendResponse(connection, "200 OK", "answer"); });
    sender.fixture.AddUpstream("b", ClosedPort());
    helper.fixture.AddUpstream("a", first);
    helper.fixture.AddUpstream("b", first);
    const auto caller = sender.fixture.SendRequest("idempotent");
    CHECK(WaitStatus(*caller, 200));
    CHECK(first.Requests() == 1);
  }
  SUBCASE("gets the error response of the upstream unchanged") {
    RawUpstream failing([](auto& connection) {
      SendResponse(connection, "500 Bad\r\nSeal: s8", "failed");
    });
    helper.fixture.AddUpstream("b", failing);
    const auto caller = sender.fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("failed"));
    CHECK(caller->Received().starts_with("HTTP/1.1 500"));
    CHECK(HeadOf(caller->Received()).find("Seal: s8") != std::string::npos);
    CHECK(failing.Requests() == 1);
  }
  SUBCASE("gets each event of its stream when it arrives, in order") {
    RawUpstream::Connection* stream = nullptr;
    RawUpstream upstream([&](auto& connection) {
      stream = &connection;
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nSeal: s9\r\nTransfer-Encoding: chunked\r\n\r\n");
    });
    const auto send = [&](const std::string& events) {
      stream->socket->write(
          QByteArray::number(static_cast<qulonglong>(events.size()), 16) +
          "\r\n" + QByteArray::fromStdString(events) + "\r\n");
    };
    helper.fixture.AddUpstream("b", upstream, false, "v1");
    const auto caller = sender.fixture.SendRequest("stream");
    REQUIRE(WaitUntil([&] { return stream != nullptr; }));
    for (int i = 1; i <= 3; ++i) {
      send(MakeEvent(i));
      REQUIRE(caller->WaitFor("id: " + std::to_string(i)));
    }
    send(MakeEvent(4) + MakeEvent(5));
    stream->socket->write("0\r\n\r\n");
    REQUIRE(caller->WaitFor(kEnd));
    CHECK(caller->Received().starts_with("HTTP/1.1 200"));
    CHECK(HeadOf(caller->Received()).find("Seal: s9") != std::string::npos);
    CHECK(EventIds(caller->Received()) == std::vector<int>{1, 2, 3, 4, 5});
    const auto sent = sender.log.OnlyLine("request");
    CHECK(sent["version"].toString() == "v1");
    CHECK(sent["events"].toInt() == 5);
  }
  SUBCASE("whose connections hang is served in what is left of its time") {
    const HangingPort hanging;
    sender.fixture.AddUpstream("a", hanging.Address());
    RawUpstream upstream(
        [](auto& connection) { SendResponse(connection, "200 OK", "answer"); });
    helper.fixture.AddUpstream("b", upstream);
    const auto started_at = MonotonicNow();
    const auto caller =
        sender.fixture.SendRequest("idempotent", "Allowed-Ms: 2000\r\n");
    REQUIRE(caller->WaitFor("answer"));
    const auto time_left =
        std::stoll(ReceivedHeader(upstream.At(0), "Time-Left"));
    const auto line = sender.log.OnlyLine("delegated");
    CHECK(time_left > 0);
    CHECK(time_left <= line["time_left_ms"].toInteger());
    CHECK(line["time_left_ms"].toInteger() < 2'000);
    CHECK(MonotonicNow() - started_at < Duration(2'000));
  }
}

TEST_CASE("a delegated request of a workspace") {
  Daemon sender("sender");
  Daemon helper("helper");
  Introduce({&sender, &helper});
  for (auto* daemon : {&sender, &helper}) {
    daemon->fixture.RequireKeys(1'000, 1'000);
  }
  sender.fixture.AddUpstream("a", ClosedPort());
  RawUpstream upstream([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", MakeEvent(1));
  });
  helper.fixture.AddUpstream("b", upstream);
  const auto check = [&](const std::string& route) {
    SUBCASE("is charged by the sender and counted by the helper") {
      const auto caller = sender.fixture.SendRequest(route, "Key: k\r\n");
      REQUIRE(caller->WaitFor("id: 1"));
      CHECK(caller->Received().starts_with("HTTP/1.1 200"));
      CHECK(sender.QuotaUsed() == 1);
      CHECK(helper.QuotaUsed() == 0);
      CHECK(sender.fixture.UsageCount() == 0);
      CHECK(helper.fixture.UsageCount() == 1);
      CHECK(sender.log.OnlyLine("request")["workspace"].toString() == "w");
      CHECK(helper.log.OnlyLine("request")["workspace"].toString() == "w");
    }
    SUBCASE("is rejected by the sender without its key") {
      const auto caller = sender.fixture.SendRequest(route, "Key: x\r\n");
      CHECK(WaitStatus(*caller, 401));
      CHECK(sender.log.Lines("delegated").empty());
    }
    SUBCASE("is rejected by a helper that knows that the key was revoked") {
      helper.fixture.Reconfigure(
          [](auto* content) { content->workspaces[0].keys = {"other"}; });
      const auto caller = sender.fixture.SendRequest(route, "Key: k\r\n");
      CHECK(WaitStatus(*caller, 401));
      CHECK(upstream.Requests() == 0);
      CHECK(helper.fixture.UsageCount() == 0);
    }
  };
  SUBCASE("that may be repeated") { check("idempotent"); }
  SUBCASE("that must not be repeated") { check("once"); }
  SUBCASE("that is a stream") { check("stream"); }
}

TEST_CASE("a caller that leaves while another daemon serves its request") {
  Daemon sender("sender");
  Daemon helper("helper");
  Introduce({&sender, &helper});
  sender.fixture.AddUpstream("a", ClosedPort());
  RawUpstream::Connection* running = nullptr;
  RawUpstream upstream([&](auto& connection) {
    running = &connection;
    if (HasReceived(connection, "/stream/")) {
      StartEventStream(connection, MakeEvent(1));
    }
  });
  helper.fixture.AddUpstream("b", upstream);
  const auto is_released = [&] {
    return running->socket->state() == QAbstractSocket::UnconnectedState;
  };

  SUBCASE("ends an idempotent request at its upstream") {
    const auto caller = sender.fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return running != nullptr; }));
    caller->Leave();
    CHECK(WaitUntil(is_released, kReleaseMs));
    CHECK(helper.fixture.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("ends a stream at its upstream") {
    const auto caller = sender.fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    caller->Leave();
    CHECK(WaitUntil(is_released, kReleaseMs));
    CHECK(helper.fixture.gateway.ActiveRequestCount() == 0);
  }
  SUBCASE("does not end a request that must not be repeated") {
    const auto caller = sender.fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return running != nullptr; }));
    caller->Leave();
    RunFor(kReleaseMs);
    CHECK(!is_released());
    SendResponse(*running, "200 OK", "done");
    CHECK(WaitUntil(
        [&] { return helper.fixture.gateway.ActiveRequestCount() == 0; }));
  }
}

TEST_CASE("the time of a delegated request ends") {
  Daemon sender("sender");
  Daemon helper("helper");
  Introduce({&sender, &helper});
  sender.fixture.AddUpstream("a", ClosedPort());
  RawUpstream silent([](auto&) {});
  helper.fixture.AddUpstream("b", silent);
  const auto caller = sender.fixture.SendRequest("once", "Allowed-Ms: 300\r\n");
  REQUIRE(WaitUntil([&] { return silent.Requests() == 1; }));
  // The daemon waits a little longer than the caller said.
  REQUIRE(caller->WaitFor("\r\n\r\n", 2'000));
  CHECK(caller->Received().starts_with("HTTP/1.1 504"));
  CHECK(HeadOf(caller->Received()).find("Firmoor-Outcome: unknown") !=
        std::string::npos);
}

}  // namespace firmoor
