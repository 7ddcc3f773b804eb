#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "delegation_fleet.h"
#include "details/delegation_messages.h"
#include "silent_upstreams.h"

namespace firmoor {
namespace {

// Well before an attempt that was sent just now.
constexpr std::int64_t kEarlierMs = 5'000;

/// A stream whose upstream "a" of version 1 pauses after event 1, and whose
/// second attempt at "b" sends event 2 when the test lets it.
struct VersionedStream {
  RacedRequest request{PauseInStream(), [](auto&) {}};

  VersionedStream() {
    auto& fixture = request.fixture;
    fixture.AddUpstream("a", request.a, false, "v1");
    // The registration that this daemon has is the older one.
    Register("a", 1, "v1");
    request.caller = fixture.SendRequest("resumable");
    REQUIRE(request.caller->WaitFor("id: 1"));
  }
  void AddSecond() {
    request.fixture.AddUpstream("b", request.b, false, "v1");
    Register("b", 1, "v1");
  }
  void Register(const std::string& id, std::int64_t born_ms,
                const std::string& version) {
    auto entry = *request.fixture.gateway.upstreams().Find(id);
    entry.born_ms = born_ms;
    entry.software_version = version;
    request.fixture.gateway.ApplyUpstream(entry);
  }
  /// Has "b" send event 2 and the end of the stream.
  void SendFromSecond() {
    const auto event = MakeEvent(2);
    SendResponse(WithRequest(request.b), "200 OK\r\nSeal: b", event);
    WithRequest(request.b).socket->flush();
  }
};

/// A daemon that accepts requests of others and then is silent.
void AcceptAndWait(PeerStreamResponder& responder) {
  responder.Send(EncodedReply(details::DelegationReply::Kind::kAccepted));
}

/// Registers "a" at `daemon` as an instance that refuses connections.
void RegisterClosed(Daemon& daemon, std::int64_t born_ms,
                    const std::string& version) {
  auto& gateway = daemon.fixture.gateway;
  auto entry = *gateway.upstreams().Find("a");
  entry.endpoint = ClosedPort();
  entry.born_ms = born_ms;
  entry.software_version = version;
  gateway.ApplyUpstream(entry);
}

}  // namespace

// Guards against streams that hold events of two software versions (ORDER),
// joined by an attempt that started while the first upstream was silent.
TEST_CASE("a second attempt of a stream that is bound to a software version") {
  VersionedStream stream;
  auto& request = stream.request;

  SUBCASE("starts only at an upstream of this version") {
    RawUpstream other(SendEvents({{2, 0}}));
    for (const auto* id : {"c", "d"}) {
      request.fixture.AddUpstream(id, other, false, "v2");
    }
    SUBCASE("or not at all") {
      CHECK(request.caller->WaitFor(kEnd, 2'500));
      CHECK(request.HasMetric("started", 0));
    }
    SUBCASE("which takes over") {
      stream.AddSecond();
      REQUIRE(request.WaitForSecond());
      stream.SendFromSecond();
      CHECK(request.caller->WaitFor(kEnd, 200));
    }
    CHECK(HasEvents(*request.caller, {1, 2}));
    CHECK(other.Requests() == 0);
  }
  // The first events may be of the other version already.
  SUBCASE("has no part in it when the first one turns out to be of another") {
    stream.AddSecond();
    REQUIRE(request.WaitForSecond());
    stream.Register("a", WallClockMs() - kEarlierMs, "v2");
    stream.SendFromSecond();
    RunFor(100);
    CHECK(HasEvents(*request.caller, {1}));
    // The one that wrote them goes on.
    CHECK(request.caller->WaitFor(kEnd, 700));
    CHECK(HasEvents(*request.caller, {1, 2}));
  }
  SUBCASE("has no part in it when it turns out to run at another") {
    stream.AddSecond();
    REQUIRE(request.WaitForSecond());
    stream.Register("b", WallClockMs() - kEarlierMs, "v2");
    stream.SendFromSecond();
    RunFor(100);
    CHECK(HasEvents(*request.caller, {1}));
    CHECK(request.caller->WaitFor(kEnd, 700));
    CHECK(HasEvents(*request.caller, {1, 2}));
  }
  // Guards against a daemon that crashes when a stream ends while the list of
  // requests is told of a new version.
  SUBCASE("ends with it when the first one broke off and may be of another") {
    stream.AddSecond();
    WithRequest(request.a).socket->abort();
    REQUIRE(WaitUntil([&] { return request.b.Requests() == 1; }));
    const auto others = [&] {
      std::vector<std::unique_ptr<RawClient>> callers;
      for (const auto* id : {"r2", "r3", "r4", "r5"}) {
        callers.push_back(request.fixture.SendRequest("idempotent", "", id));
      }
      return callers;
    }();
    REQUIRE(WaitUntil([&] {
      return request.fixture.gateway.ActiveRequestCount() == 1 + others.size();
    }));
    stream.Register("a", WallClockMs() - kEarlierMs, "v2");
    CHECK(request.caller->WaitClosed(kCancelMs));
    CHECK(HasEvents(*request.caller, {1}));
    CHECK(request.fixture.gateway.ActiveRequestCount() == others.size());
  }
  SUBCASE("goes on when the first one was replaced after it began") {
    stream.AddSecond();
    REQUIRE(request.WaitForSecond());
    stream.Register("a", WallClockMs() + kEarlierMs, "v2");
    stream.SendFromSecond();
    CHECK(request.caller->WaitFor(kEnd, 200));
    CHECK(HasEvents(*request.caller, {1, 2}));
  }
}

// Guards against streams that hold events of two software versions (ORDER),
// joined by another daemon that had the request before the version was in
// doubt.
TEST_CASE("another daemon has no part in a stream of a doubtful version") {
  Daemon sender("sender");
  const ScriptedDaemon peer(AcceptAndWait);
  RawUpstream a(PauseInStream(2'600));
  Introduce(sender, {peer.Address()});
  sender.fixture.AddUpstream("a", a, false, "v1");
  const auto caller = sender.fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  // The links are lost while the upstream is silent.
  RegisterClosed(sender, 0, "v1");
  REQUIRE(WaitUntil([&] { return peer.responders.size() == 1; }, 2'000));
  bool goes_on = true;
  SUBCASE("while the upstream that wrote it goes on") {}
  SUBCASE("after the upstream that wrote it broke off") {
    WithRequest(a).socket->abort();
    RunFor(50);
    goes_on = false;
  }
  RegisterClosed(sender, WallClockMs() - kEarlierMs, "v2");
  CHECK(
      WaitUntil([&] { return !peer.responders.front()->IsOpen(); }, kCancelMs));
  if (goes_on) {
    CHECK(caller->WaitFor(kEnd, 2'500));
    CHECK(HasEvents(*caller, {1, 2}));
  } else {
    CHECK(caller->WaitClosed(kCancelMs));
    CHECK(HasEvents(*caller, {1}));
    const auto line = sender.log.OnlyLine("request");
    CHECK(line["code"].toString() == "stream-version-unknown");
  }
}

}  // namespace firmoor
