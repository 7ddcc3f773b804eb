#include <doctest/doctest.h>

#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

constexpr int kSlots = 4;

/// Whether the latest request on a kept-alive connection asks for a report.
bool IsReportRequest(const RawUpstream::Connection& connection) {
  const auto report = connection.received.rfind("GET /report");
  const auto post = connection.received.rfind("POST ");
  return report != std::string::npos &&
         (post == std::string::npos || report > post);
}

/// Answers each request with the two last events of a stream.
RawUpstream::Script SendRest() {
  return [](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(3) + MakeEvent(4));
  };
}

}  // namespace

// Guards against streams that hold events of two software versions, since a
// daemon resumes them wherever an upstream has room (incident ORDER).
TEST_CASE("a stream that breaks off at an upstream of one software version") {
  GatewayFixture fixture;
  RawUpstream same(SendRest());
  RawUpstream other(SendRest());
  const auto add_others = [&] {
    for (const auto* id : {"b", "c", "d"}) {
      fixture.AddUpstream(id, other, false, "v2");
    }
  };

  SUBCASE("before its first event is sent to any other") {
    RawUpstream breaking(BreakAfter(50));
    fixture.AddUpstream("a", breaking, false, "v1");
    const auto caller = fixture.SendRequest("resumable");
    REQUIRE(WaitUntil([&] { return breaking.Requests() == 1; }));
    add_others();
    CHECK(caller->WaitFor(kEnd));
    CHECK(other.Requests() == 1);
  }
  SUBCASE("after its first event") {
    RawUpstream breaking([](auto& connection) {
      StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
      QTimer::singleShot(50, connection.socket,
                         [s = connection.socket] { s->disconnectFromHost(); });
    });
    fixture.AddUpstream("a", breaking, false, "v1");
    const auto caller = fixture.SendRequest("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    add_others();
    SUBCASE("goes on at one of its version") {
      fixture.AddUpstream("e", same, false, "v1");
      CHECK(caller->WaitFor(kEnd));
      CHECK(same.Requests() == 1);
      CHECK(other.Requests() == 0);
    }
    SUBCASE("ends at once when none of its version is left") {
      CHECK(caller->WaitClosed(kPromptlyMs));
      CHECK(caller->Received().find(kEnd) == std::string::npos);
      CHECK(other.Requests() == 0);
    }
    SUBCASE("ends at once when its version is about to leave") {
      fixture.AddUpstream("e", same, true, "v1");
      CHECK(caller->WaitClosed(kPromptlyMs));
      CHECK(same.Requests() == 0);
      CHECK(other.Requests() == 0);
    }
  }
}

// Guards against a stream that goes on at the version of an outdated
// registration: its upstream had started again under the same id (incident
// ORDER).
TEST_CASE("a stream of an upstream that was replaced under its id") {
  GatewayFixture fixture;
  RawUpstream::Connection* stream = nullptr;
  RawUpstream replaced([&](auto& connection) {
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream same(SendRest());
  fixture.AddUpstream("a", replaced, false, "v1");
  fixture.AddUpstream("e", same, false, "v1");
  // The registration that this daemon has is the older one.
  UpstreamEntry entry = *fixture.gateway.upstreams().Find("a");
  entry.born_ms = 1;
  fixture.gateway.RemoveUpstream("e");
  fixture.gateway.ApplyUpstream(entry);
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("e", same, false, "v1");
  entry.software_version = "v2";

  SUBCASE("before it began is resumed by nobody") {
    entry.born_ms = WallClockMs() - 5'000;
    fixture.gateway.ApplyUpstream(entry);
    stream->socket->abort();
    CHECK(caller->WaitClosed(kPromptlyMs));
    const auto resumed =
        fixture.SendRequest("resumable", "Seen: 2\r\nStream-Id: r1\r\n");
    REQUIRE(resumed->WaitFor("HTTP/1.1 "));
    CHECK(resumed->Received().starts_with("HTTP/1.1 503"));
    CHECK(same.Requests() == 0);
  }
  SUBCASE("long after it began is resumed") {
    entry.born_ms = WallClockMs() + 5'000;
    fixture.gateway.ApplyUpstream(entry);
    stream->socket->abort();
    CHECK(caller->WaitFor(kEnd));
    CHECK(same.Requests() == 1);
  }
}

// Guards against streams that hold events of two software versions, since a
// daemon moves them with their KV cache to any engine (incident ORDER).
TEST_CASE("a stream at a reclaimed engine of one software version") {
  GatewayFixture fixture;
  int moves = 0;
  RawUpstream::Connection* stream = nullptr;
  RawUpstream leaving([&](auto& connection) {
    if (HasReceived(connection, "POST /move")) {
      ++moves;
      stream->socket->abort();
      return SendResponse(connection, "200 OK", "copy-7");
    }
    if (HasReceived(connection, "GET /report")) {
      return SendResponse(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream same(SendRest());
  RawUpstream other(SendRest());
  fixture.AddUpstream("a", leaving, false, "v1");
  const auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other, false, "v2");

  SUBCASE("moves to an engine of its version") {
    fixture.AddUpstream("c", same, false, "v1");
    fixture.AddUpstream("d", other, false, "v2");
    fixture.AddUpstream("a", leaving, true, "v1");
    CHECK(caller->WaitFor(kEnd));
    CHECK(same.Requests() == 1);
  }
  SUBCASE("stays when there is none") {
    fixture.AddUpstream("a", leaving, true, "v1");
    RunFor(1'500);
    CHECK(moves == 0);
  }
  CHECK(other.Requests() == 0);
}

// Guards against daemons that refuse most streams that callers resume, while
// new ones are begun (incident ORDER).
TEST_CASE("a resumed stream whose upstreams of its version are all busy") {
  GatewayFixture fixture;
  // The caller leaves after the first event; the upstream goes on working.
  RawUpstream first(
      [](auto& connection) { StartEventStream(connection, MakeEvent(1)); });
  fixture.AddUpstream("first", first, false, "v1");
  REQUIRE(fixture.SendRequest("resumable")->WaitFor("id: 1"));
  fixture.gateway.RemoveUpstream("first");
  int requests = 0;
  RawUpstream engine([&](auto& connection) {
    if (IsReportRequest(connection)) {
      return SendResponse(connection, "200 OK", "4/9");
    }
    ++requests;
    SendResponse(connection, "200 OK", MakeEvent(2));
  });
  // Slots are scarce once those of the other version are taken.
  int held = 0;
  RawUpstream holder([&](auto& connection) {
    if (IsReportRequest(connection)) {
      return SendResponse(connection, "200 OK", "");
    }
    ++held;
    StartEventStream(connection, MakeEvent(1));
  });
  fixture.AddUpstream("holder", holder, false, "v2");
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int i = 0; i < kSlots; ++i) {
    callers.push_back(fixture.SendRequest("stream"));
    REQUIRE(callers.back()->WaitFor("id: 1"));
  }
  fixture.AddUpstream("engine", engine, false, "v1");

  SUBCASE("is not refused as new ones are") {
    const auto fresh = fixture.SendRequest("resumable");
    REQUIRE(fresh->WaitFor("\r\n\r\n"));
    CHECK(fresh->Received().find("overloaded") != std::string::npos);
    const auto resumed =
        fixture.SendRequest("resumable", "Seen: 1\r\nStream-Id: r1\r\n");
    CHECK(resumed->WaitFor("id: 2"));
    CHECK(requests == 1);
    CHECK(held == kSlots);
  }
  SUBCASE("is refused at once when its version is gone") {
    fixture.gateway.RemoveUpstream("engine");
    const auto resumed =
        fixture.SendRequest("resumable", "Seen: 1\r\nStream-Id: r1\r\n");
    REQUIRE(resumed->WaitFor("\r\n\r\n", kPromptlyMs));
    CHECK(resumed->Received().starts_with("HTTP/1.1 503"));
    CHECK(resumed->Received().find("Firmoor-Code: 2008") != std::string::npos);
    CHECK(held == kSlots);
  }
  SUBCASE("is refused at once when the caller does not name it") {
    const auto resumed = fixture.SendRequest("resumable", "Seen: 1\r\n");
    REQUIRE(resumed->WaitFor("\r\n\r\n", kPromptlyMs));
    CHECK(resumed->Received().starts_with("HTTP/1.1 503"));
    CHECK(resumed->Received().find("Firmoor-Code: 2007") != std::string::npos);
    CHECK(requests == 0);
  }
}

}  // namespace firmoor
