#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "delegation_fleet.h"
#include "details/delegation_messages.h"

namespace firmoor {
namespace {

using details::DelegatedRequest;
using Kind = details::DelegationReply::Kind;

/// Sends the messages and cuts the series.
ScriptedDaemon::Script SendAndBreak(const std::vector<QByteArray>& messages) {
  return [messages](auto& responder) {
    for (const auto& message : messages) responder.Send(message);
    responder.Abort();
  };
}

bool IsUnknown(RawClient& caller) {
  return WaitStatus(caller, 502) &&
         HeadOf(caller.Received()).find("Firmoor-Outcome: unknown") !=
             std::string::npos;
}

/// A daemon that reaches no upstream, and one that can serve its requests.
struct SenderAndHelper {
  Daemon sender{"sender"};
  Daemon helper{"helper"};
  RawUpstream upstream{
      [](auto& connection) { SendResponse(connection, "200 OK", "answer"); }};

  SenderAndHelper() {
    sender.fixture.AddUpstream("a", ClosedPort());
    helper.fixture.AddUpstream("a", upstream);
  }
};

}  // namespace

TEST_CASE_FIXTURE(SenderAndHelper,
                  "a daemon that breaks off a request of another") {
  const auto check = [&](const std::vector<QByteArray>& messages) {
    const ScriptedDaemon breaking(SendAndBreak(messages));
    const auto check_log = [&](const QJsonObject& line, const QString& next) {
      CHECK(line["by"].toString() == "scripted");
      CHECK(line["next"].toString() == next);
    };

    SUBCASE("leaves one that must not be repeated with an unknown outcome") {
      Introduce(sender, {breaking.Address()});
      const auto caller = sender.fixture.SendRequest("once");
      CHECK(IsUnknown(*caller));
      check_log(sender.log.OnlyLine("delegation-broken"), "fail");
      CHECK(sender.log.Lines("delegated").size() == 1);
      CHECK(breaking.messages.size() == 1);
    }
    SUBCASE("leaves one that may be repeated to others") {
      constexpr int kRequests = 10;
      Introduce(sender, {breaking.Address(), helper.Address()});
      for (int i = 0; i < kRequests; ++i) {
        const auto caller =
            sender.fixture.SendRequest("idempotent", "", std::to_string(i));
        CHECK(WaitStatus(*caller, 200));
      }
      CHECK(upstream.Requests() == kRequests);
      REQUIRE(!breaking.messages.empty());
      const auto lines = sender.log.Lines("delegation-broken");
      REQUIRE(lines.size() == breaking.messages.size());
      for (const auto& line : lines) check_log(line, "retry-elsewhere");
    }
    SUBCASE("leaves one that may be repeated unserved if there are no others") {
      Introduce(sender, {breaking.Address()});
      CHECK(IsUnknown(*sender.fixture.SendRequest("idempotent")));
    }
  };
  SUBCASE("before it accepted it") { check({}); }
  SUBCASE("after it accepted it") { check({EncodedReply(Kind::kAccepted)}); }
  SUBCASE("with a message that cannot be read") { check({"no map"}); }
  // Guards against streams that lack events, or end without any.
  SUBCASE("with a part of a stream that did not begin") {
    check({EncodedReply(Kind::kEvents, 0, MakeEvent(1))});
  }
  SUBCASE("with the end of a stream that did not begin") {
    check({EncodedReply(Kind::kStreamEnd)});
  }
}

TEST_CASE_FIXTURE(SenderAndHelper,
                  "a daemon that stands still with a request of another") {
  const ScriptedDaemon still([](auto&) {});

  SUBCASE("leaves one that may be repeated to others, in time") {
    constexpr int kRequests = 5;
    // Of the route's timeout of 3 s.
    constexpr int kInTimeMs = 1'000;
    Introduce(sender, {still.Address(), helper.Address()});
    for (int i = 0; i < kRequests; ++i) {
      const auto caller =
          sender.fixture.SendRequest("idempotent", "", std::to_string(i));
      CHECK(WaitStatus(*caller, 200, kInTimeMs));
    }
    CHECK(!still.messages.empty());
    CHECK(upstream.Requests() == kRequests);
  }
  SUBCASE("keeps one that must not be repeated until its time is over") {
    Introduce(sender, {still.Address()});
    const auto caller =
        sender.fixture.SendRequest("once", "Allowed-Ms: 1000\r\n");
    REQUIRE(WaitUntil([&] { return still.messages.size() == 1; }));
    Introduce(sender, {still.Address(), helper.Address()});
    CHECK(WaitStatus(*caller, 504));
    CHECK(HeadOf(caller->Received()).find("Firmoor-Outcome: unknown") !=
          std::string::npos);
    CHECK(upstream.Requests() == 0);
    CHECK(still.messages.size() == 1);
  }
}

TEST_CASE("a daemon that ends while it serves a request of another") {
  Daemon sender("sender");
  Daemon first("first");
  Daemon second("second");
  Introduce({&sender, &first, &second});
  sender.fixture.AddUpstream("a", ClosedPort());
  // The first request is left unanswered.
  int requests = 0;
  RawUpstream upstream([&](auto& connection) {
    if (++requests > 1) SendResponse(connection, "200 OK", "answer");
  });
  first.fixture.AddUpstream("a", upstream);
  second.fixture.AddUpstream("a", upstream);
  // Both may be asked.
  const auto serving = [&]() -> Daemon& {
    return first.fixture.gateway.ActiveRequestCount() == 1 ? first : second;
  };

  SUBCASE("leaves one that must not be repeated with an unknown outcome") {
    const auto caller = sender.fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return requests == 1; }));
    serving().Die();
    CHECK(IsUnknown(*caller));
    CHECK(requests == 1);
  }
  SUBCASE("leaves one that may be repeated to another") {
    const auto caller = sender.fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return requests == 1; }));
    serving().Die();
    REQUIRE(caller->WaitFor("answer"));
    CHECK(caller->Received().starts_with("HTTP/1.1 200"));
    CHECK(requests == 2);
    const auto line = sender.log.OnlyLine("delegation-broken");
    CHECK(line["accepted"].toBool());
    CHECK(line["next"].toString() == "retry-elsewhere");
    CHECK(sender.log.Lines("delegated").size() == 2);
  }
}

TEST_CASE("a stream that is served through other daemons goes on there") {
  Daemon sender("sender");
  Daemon first("first");
  Daemon second("second");
  for (auto* daemon : {&sender, &first, &second}) {
    daemon->fixture.RequireKeys(0, 0);
  }
  std::string rest_from;
  RawUpstream::Connection* begun = nullptr;
  int requests = 0;
  RawUpstream engine([&](auto& connection) {
    if (++requests == 1) {
      begun = &connection;
      return StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
    }
    const auto at = connection.received.rfind("From: ");
    rest_from = connection.received.substr(at + 6, 1);
    SendResponse(connection, "200 OK", MakeEvent(3) + MakeEvent(4));
  });
  RawUpstream other([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(3) + MakeEvent(4));
  });
  const auto check_whole = [&](RawClient& caller) {
    REQUIRE(caller.WaitFor(kEnd));
    CHECK(EventIds(caller.Received()) == std::vector<int>{1, 2, 3, 4});
    CHECK(rest_from == "2");
    CHECK(requests == 2);
    CHECK(other.Requests() == 0);
    RunFor(20);
    CHECK(sender.fixture.gateway.ActiveRequestCount() == 0);
    // Guards against usage that is counted once for each daemon that a stream
    // was served through.
    CHECK(sender.fixture.UsageCount() + first.fixture.UsageCount() +
              second.fixture.UsageCount() ==
          1);
  };
  // The engine refuses new connections of the sender, and breaks the present
  // one.
  const auto cut_sender_off = [&] {
    auto entry = *sender.fixture.gateway.upstreams().Find("a");
    entry.endpoint = ClosedPort();
    sender.fixture.gateway.ApplyUpstream(entry);
    begun->socket->abort();
  };

  SUBCASE("after its own daemon has lost its links") {
    Introduce({&sender, &first});
    sender.fixture.AddUpstream("a", engine, false, "v1");
    first.fixture.AddUpstream("b", other, false, "v2");
    const auto caller = sender.fixture.SendRequest("resumable", "Key: k\r\n");
    REQUIRE(caller->WaitFor("id: 2"));
    // Guards against streams that end with the links of their daemon, as no
    // other upstream of their version is known to it.
    SUBCASE("at an engine of its version") {
      first.fixture.AddUpstream("c", engine, false, "v1");
      cut_sender_off();
      check_whole(*caller);
      CHECK(sender.log.OnlyLine("delegated")["events"].toInt() == 2);
    }
    // Guards against streams that end although another daemon reaches their
    // silent upstream, since it is told that this one was tried.
    SUBCASE("at the same engine, which has fallen silent for it") {
      first.fixture.AddUpstream("a", engine, false, "v1");
      auto entry = *sender.fixture.gateway.upstreams().Find("a");
      entry.endpoint = ClosedPort();
      sender.fixture.gateway.ApplyUpstream(entry);
      check_whole(*caller);
    }
    SUBCASE("or ends at once if there is none") {
      cut_sender_off();
      CHECK(caller->WaitClosed(kPromptlyMs));
      CHECK(caller->Received().find(kEnd) == std::string::npos);
      CHECK(EventIds(caller->Received()) == std::vector<int>{1, 2});
      CHECK(other.Requests() == 0);
    }
  }
  SUBCASE("after the daemon that served it has ended") {
    Introduce({&sender, &first, &second});
    sender.fixture.AddUpstream("a", ClosedPort());
    for (auto* daemon : {&first, &second}) {
      daemon->fixture.AddUpstream("b", engine, false, "v1");
    }
    const auto caller = sender.fixture.SendRequest("resumable", "Key: k\r\n");
    REQUIRE(caller->WaitFor("id: 2"));
    for (auto* daemon : {&first, &second}) {
      daemon->fixture.AddUpstream("c", other, false, "v2");
    }
    auto& serving =
        first.fixture.gateway.ActiveRequestCount() == 1 ? first : second;
    serving.Die();
    check_whole(*caller);
    const auto line = sender.log.OnlyLine("delegation-broken");
    CHECK(line["next"].toString() == "resume-elsewhere");
  }
}

TEST_CASE("a reply that a daemon may not send") {
  Daemon sender("sender");
  sender.fixture.AddUpstream("a", ClosedPort());
  std::vector<QByteArray> messages = {EncodedReply(Kind::kAccepted)};
  SUBCASE("a response within a stream") {
    messages.push_back(EncodedReply(Kind::kStreamStart, 200));
    messages.push_back(EncodedReply(Kind::kEvents, 0, MakeEvent(1)));
    messages.push_back(EncodedReply(Kind::kResponse, 200, "answer"));
    const ScriptedDaemon peer(SendAndBreak(messages));
    Introduce(sender, {peer.Address()});
    const auto caller = sender.fixture.SendRequest("stream");
    REQUIRE(caller->WaitClosed());
    CHECK(caller->Received().find("answer") == std::string::npos);
    CHECK(caller->Received().find(kEnd) == std::string::npos);
    CHECK(!sender.log.OnlyLine("answer-cut").isEmpty());
  }
  SUBCASE("a message that cannot be read") {
    messages.emplace_back("no map");
    const ScriptedDaemon peer(SendAndBreak(messages));
    Introduce(sender, {peer.Address()});
    CHECK(IsUnknown(*sender.fixture.SendRequest("once")));
    const auto line = sender.log.OnlyLine("delegation-bad");
    CHECK(line["from"].toString() == "scripted");
  }
}

// Guards against a stream that ends as complete since another daemon, which
// served it, took the close of its upstream's connection for its end (incident
// ORDER).
TEST_CASE("a stream through another daemon that only its close ends") {
  Daemon sender{"sender"};
  Daemon helper{"helper"};
  RawUpstream closing([](auto& connection) {
    connection.socket->write(QByteArray::fromStdString(
        "HTTP/1.1 200 OK\r\n\r\n" + MakeEvent(1) + MakeEvent(2)));
    connection.socket->disconnectFromHost();
  });
  sender.fixture.AddUpstream("a", ClosedPort());
  helper.fixture.AddUpstream("a", closing);
  Introduce({&sender, &helper});
  auto caller = sender.fixture.SendRequest("resumable");
  REQUIRE(caller->WaitClosed());
  CHECK(EventIds(caller->Received()) == std::vector{1, 2});
  CHECK(caller->Received().find(kEnd) == std::string::npos);
}

}  // namespace firmoor
