#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

constexpr int kNotLongMs = 100;

/// Four other daemons that take records when the test says so.
struct Holders {
  std::vector<PeerNode::Done> waiting;

  explicit Holders(Gateway* gateway) {
    gateway->SetPeerCall([this](const Endpoint&, const std::string& kind,
                                const QByteArray&, Duration,
                                PeerNode::Done done) {
      if (kind == "stream-records") waiting.push_back(std::move(done));
    });
    DirectoryUpdate update;
    update.position = {1, 1};
    update.is_full = true;
    for (const auto* daemon : {"a", "b", "c", "d"}) {
      update.added.push_back({daemon, "zone", {"127.0.0.1", 1}});
    }
    gateway->ApplyDaemonDirectory(update);
  }
  void Reply(PeerStatus status) {
    const auto done = std::move(waiting.back());
    waiting.pop_back();
    done(status, {});
  }
};

}  // namespace

// Guards against streams that hold events of two software versions, since none
// of a record's holders took it (incident ORDER).
TEST_CASE("a stream that begins while two software versions serve") {
  GatewayFixture fixture;
  Holders holders(&fixture.gateway);
  RawUpstream upstream([](auto& connection) {
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  fixture.AddUpstream("a", upstream, false, "v1");
  fixture.AddUpstream("b", upstream, false, "v2");

  SUBCASE("that nobody may resume is forwarded at once") {
    const auto caller = fixture.SendRequest("stream");
    CHECK(caller->WaitFor("id: 2"));
    CHECK(holders.waiting.empty());
  }
  SUBCASE("that callers may resume") {
    auto caller = fixture.SendRequest("resumable");
    REQUIRE(WaitUntil([&] { return holders.waiting.size() == 4; }));

    SUBCASE("is forwarded once all other daemons but one know its version") {
      holders.Reply(PeerStatus::kOk);
      holders.Reply(PeerStatus::kOk);
      RunFor(kNotLongMs);
      CHECK(caller->Received().empty());
      holders.Reply(PeerStatus::kOk);
      CHECK(caller->WaitFor("id: 2"));
      CHECK(EventIds(caller->Received()) == std::vector{1, 2});
    }
    SUBCASE("is forwarded a little later if one knows it") {
      holders.Reply(PeerStatus::kOk);
      RunFor(kNotLongMs);
      CHECK(caller->Received().empty());
      CHECK(caller->WaitFor("id: 2"));
    }
    SUBCASE("is forwarded if one knows it and the others are lost") {
      holders.Reply(PeerStatus::kOk);
      for (int i = 0; i < 3; ++i) holders.Reply(PeerStatus::kNotSent);
      CHECK(caller->WaitFor("id: 2"));
    }
    SUBCASE("fails without an event if nobody can be told") {
      for (int i = 0; i < 4; ++i) holders.Reply(PeerStatus::kNoResponse);
      REQUIRE(caller->WaitFor("\r\n\r\n"));
      CHECK(caller->Received().starts_with("HTTP/1.1 502"));
      CHECK(EventIds(caller->Received()).empty());
    }
    SUBCASE("is not held for a caller that leaves") {
      caller.reset();
      RunFor(kNotLongMs);
      for (int i = 0; i < 4; ++i) holders.Reply(PeerStatus::kOk);
      CHECK(fixture.SendRequest("stream", "", "r2")->WaitFor("id: 2"));
    }
  }
}

}  // namespace firmoor
