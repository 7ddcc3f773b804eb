#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "delegation_fleet.h"
#include "details/delegation_messages.h"
#include "silent_upstreams.h"

namespace firmoor {
namespace {

using Kind = details::DelegationReply::Kind;

constexpr Duration kTimeout{6'000};
// A peer that accepted the request is silent after this, and its sender has
// looked again.
constexpr int kPeerSilentMs = 2'800;

/// The value of the counter of second attempts.
int CountBeside(Daemon& daemon, const std::string& end) {
  const auto text = daemon.fixture.gateway.StreamMetrics();
  const auto name = "firmoor_attempts_beside_total{end=\"" + end + "\"} ";
  return std::stoi(text.substr(text.find(name) + name.size()));
}

/// The only daemon that the sender can delegate to has its request.
struct DelegatedFixture {
  Daemon sender{"sender"};
  Daemon other{"other"};
  ScriptedDaemon peer;
  std::unique_ptr<RawClient> caller;

  explicit DelegatedFixture(bool accepts)
      : peer([accepts](auto& responder) {
          if (accepts) responder.Send(EncodedReply(Kind::kAccepted));
        }) {
    for (auto* daemon : {&sender, &other}) {
      daemon->fixture.SetTimeouts(kTimeout);
    }
    sender.fixture.AddUpstream("a", ClosedPort());
    Introduce(sender, {peer.Address()});
    caller = sender.fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return peer.messages.size() == 1; }));
  }
  void AnswerFromPeer() {
    peer.responders.front()->Send(
        EncodedReply(Kind::kResponse, 200, "of-peer"));
    peer.responders.front()->Finish();
  }
  /// Whether a second attempt starts, at the sender or at another daemon.
  bool WaitBeside(int timeout_ms) {
    return WaitUntil(
        [&] { return !sender.log.Lines("attempt-beside").empty(); },
        timeout_ms);
  }
};

}  // namespace

// Guards against LOST: a request that another daemon serves is given up with
// that daemon's upstream, which pauses.
TEST_CASE("a delegated request whose upstream pauses is answered") {
  Daemon sender("sender");
  Daemon helper("helper");
  Introduce({&sender, &helper});
  sender.fixture.AddUpstream("a", ClosedPort());
  RawUpstream pausing(AnswerAfter(1'200, "200 OK", "of-b"));
  RawUpstream rejecting(RejectNotRun);
  helper.fixture.AddUpstream("b", pausing);
  const auto caller = sender.fixture.SendRequest("idempotent");
  REQUIRE(WaitUntil([&] { return pausing.Requests() == 1; }));
  SUBCASE("alone") {}
  SUBCASE("while another one rejects it") {
    helper.fixture.AddUpstream("c", rejecting);
  }
  CHECK(caller->WaitFor("of-b", 2'000));
  RunFor(20);
  CHECK(sender.fixture.gateway.ActiveRequestCount() == 0);
  CHECK(helper.fixture.gateway.ActiveRequestCount() == 0);
}

// Guards against LOST: a request is given up with a daemon that pauses, since
// the next one does not serve it.
TEST_CASE("a delegated request whose daemon pauses is answered") {
  SUBCASE("by it, after another daemon refused") {
    DelegatedFixture fleet(true);
    Introduce(fleet.sender, {fleet.peer.Address(), fleet.other.Address()});
    fleet.other.fixture.gateway.StartDrain(MonotonicNow() + Duration(20'000));
    REQUIRE(WaitUntil(
        [&] { return !fleet.sender.log.Lines("delegation-refused").empty(); },
        kPeerSilentMs + 300));
    RunFor(100);
    fleet.AnswerFromPeer();
    CHECK(fleet.caller->WaitFor("of-peer", 200));
    // Guards against a count without the attempts that daemons refused.
    CHECK(CountBeside(fleet.sender, "dropped") == 1);
  }
  SUBCASE("by it, though it had not accepted it in time") {
    DelegatedFixture fleet(false);
    Introduce(fleet.sender, {fleet.peer.Address(), fleet.other.Address()});
    fleet.other.fixture.gateway.StartDrain(MonotonicNow() + Duration(20'000));
    REQUIRE(WaitUntil(
        [&] { return !fleet.sender.log.Lines("delegation-refused").empty(); },
        1'500));
    fleet.peer.responders.front()->Send(EncodedReply(Kind::kAccepted));
    RunFor(50);
    fleet.AnswerFromPeer();
    CHECK(fleet.caller->WaitFor("of-peer", 200));
  }
  SUBCASE("by it, after one of an earlier build ended without a message") {
    DelegatedFixture fleet(false);
    const ScriptedDaemon earlier;
    auto address = earlier.Address();
    address.daemon = "earlier";
    Introduce(fleet.sender, {fleet.peer.Address(), address});
    REQUIRE(WaitUntil(
        [&] { return !fleet.sender.log.Lines("delegation-refused").empty(); },
        1'500));
    fleet.AnswerFromPeer();
    CHECK(fleet.caller->WaitFor("of-peer", 200));
  }
  SUBCASE("by another daemon, and by that one only") {
    DelegatedFixture fleet(false);
    RawUpstream upstream(AnswerAfter(0, "200 OK", "of-other"));
    fleet.other.fixture.AddUpstream("b", upstream);
    Introduce(fleet.sender, {fleet.peer.Address(), fleet.other.Address()});
    CHECK(fleet.caller->WaitFor("of-other", 1'500));
    CHECK(WaitUntil([&] { return !fleet.peer.responders.front()->IsOpen(); },
                    kCancelMs));
    CHECK(fleet.caller->Received().find("of-peer") == std::string::npos);
  }
}

// Guards against LOST: of an attempt here and one at another daemon, the one
// that fails ends the other.
TEST_CASE("a request that is served here and by another daemon") {
  DelegatedFixture fleet(false);
  const auto add_here = [&](RawUpstream& upstream) {
    fleet.sender.fixture.AddUpstream("b", upstream);
    fleet.sender.fixture.gateway.RemoveUpstream("a");
  };

  SUBCASE("is answered from here") {
    RawUpstream here(AnswerAfter(200, "200 OK", "of-here"));
    add_here(here);
    CHECK(fleet.caller->WaitFor("of-here", 3'000));
    CHECK(WaitUntil([&] { return !fleet.peer.responders.front()->IsOpen(); },
                    kCancelMs));
    CHECK(
        fleet.sender.log.OnlyLine("attempt-overtaken")["upstream"].toString() ==
        "scripted");
  }
  SUBCASE("is answered by the other daemon") {
    RawUpstream here([](auto&) {});
    add_here(here);
    REQUIRE(WaitUntil([&] { return here.Requests() == 1; }, 3'000));
    fleet.AnswerFromPeer();
    CHECK(fleet.caller->WaitFor("of-peer", 200));
    CHECK(WaitUntil([&] { return IsClosed(WithRequest(here)); }, kCancelMs));
    CHECK(
        fleet.sender.log.OnlyLine("attempt-overtaken")["upstream"].toString() ==
        "b");
  }
  SUBCASE("is answered by the other daemon after it was rejected here") {
    RawUpstream here(RejectNotRun);
    add_here(here);
    REQUIRE(WaitUntil([&] { return here.Requests() == 1; }, 3'000));
    RunFor(100);
    fleet.AnswerFromPeer();
    CHECK(fleet.caller->WaitFor("of-peer", 200));
  }
  // Guards against an answer of the other daemon that is thrown away, though
  // nothing else answers.
  SUBCASE("gets the other daemon's error when nothing is left here") {
    RawUpstream here(BreakAfter(300));
    add_here(here);
    REQUIRE(WaitUntil([&] { return here.Requests() == 1; }, 3'000));
    fleet.peer.responders.front()->Send(
        EncodedReply(Kind::kResponse, 500, "error-of-peer"));
    CHECK(fleet.caller->WaitFor("error-of-peer", 1'000));
  }
  SUBCASE("is answered from here after the other daemon broke off") {
    RawUpstream here(AnswerAfter(300, "200 OK", "of-here"));
    add_here(here);
    REQUIRE(WaitUntil([&] { return here.Requests() == 1; }, 3'000));
    fleet.peer.responders.front()->Abort();
    CHECK(fleet.caller->WaitFor("of-here", 1'000));
    CHECK(CountBeside(fleet.sender, "dropped") == 1);
  }
  CHECK(fleet.sender.fixture.gateway.Loads().at("s").in_flight == 0);
}

// Guards against a line and a count of a second attempt that did not start.
TEST_CASE("a second attempt that no daemon can be asked for is not counted") {
  Daemon sender("sender");
  const ScriptedDaemon peer([](auto&) {});
  RawUpstream a(PauseInStream());
  sender.fixture.SetTimeouts(kTimeout);
  Introduce(sender, {peer.Address()});
  sender.fixture.gateway.SetPeerStreamCall(nullptr);
  sender.fixture.AddUpstream("a", a);
  const auto caller = sender.fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  // The links are lost while the upstream is silent.
  sender.fixture.AddUpstream("a", ClosedPort());
  CHECK(caller->WaitFor(kEnd, 2'500));
  REQUIRE(sender.log.Lines("upstream-links").back()["after"].toString() ==
          "unreachable");
  CHECK(sender.log.Lines("attempt-beside").empty());
  CHECK(CountBeside(sender, "started") == 0);
  CHECK(sender.log.OnlyLine("request")["beside"].toInt() == 0);
}

// Guards against usage that is counted here and at another daemon, whose
// upstream ran the request and failed.
TEST_CASE("a request that fails at another daemon counts once") {
  Daemon sender("sender");
  Daemon helper("helper");
  for (auto* daemon : {&sender, &helper}) {
    daemon->fixture.RequireKeys(0, 0);
    daemon->fixture.SetTimeouts(kTimeout);
  }
  Introduce({&sender, &helper});
  sender.fixture.AddUpstream("a", ClosedPort());
  RawUpstream failing(AnswerAfter(kPeerSilentMs + 300,
                                  "500 Internal Server Error", "of-helper"));
  RawUpstream here(AnswerAfter(800, "200 OK", "of-here"));
  helper.fixture.AddUpstream("b", failing);
  const auto caller = sender.fixture.SendRequest("idempotent", "Key: k\r\n");
  REQUIRE(WaitUntil([&] { return failing.Requests() == 1; }));
  sender.fixture.AddUpstream("c", here);
  sender.fixture.gateway.RemoveUpstream("a");
  REQUIRE(WaitUntil([&] { return here.Requests() == 1; }, kPeerSilentMs + 200));
  CHECK(caller->WaitFor("of-here", 2'000));
  CHECK(helper.fixture.UsageCount() == 1);
  CHECK(sender.fixture.UsageCount() + helper.fixture.UsageCount() == 1);
}

}  // namespace firmoor
