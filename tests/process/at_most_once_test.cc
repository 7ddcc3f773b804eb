#include <doctest/doctest.h>

#include "cluster.h"

namespace firmoor {
namespace {

ClusterShape TwoZones() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 0, 1}, {"west", "home", 1, 0, 1}};
  return shape;
}

}  // namespace

TEST_CASE("a booking that the upstream may have run is not sent again") {
  Cluster cluster(TwoZones());
  REQUIRE(cluster.WaitReady());

  SUBCASE("keyed: the upstream dies after doing the work") {
    const auto first = cluster.Ask(0, cluster.Booking("k", "w", "die"));
    CHECK(first.answer.status == 502);
    CHECK(OutcomeOf(first) == "unknown");
    const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(again.answer.status == 409);
    CHECK(OutcomeOf(again) == "unknown");
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("unkeyed: the upstream dies after doing the work") {
    const auto first = cluster.Ask(0, cluster.Booking("", "w", "die"));
    CHECK(OutcomeOf(first) == "unknown");
    RunFor(300);
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("keyed: the upstream goes silent for good") {
    const auto first = cluster.Ask(0, cluster.Booking("k", "w", "silent"));
    CHECK(first.answer.status == 504);
    CHECK(OutcomeOf(first) == "unknown");
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("keyed: half an answer") {
    const auto first = cluster.Ask(0, cluster.Booking("k", "w", "cut"));
    CHECK(OutcomeOf(first) == "unknown");
    CHECK(CodeOf(first) == 3005);
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("keyed: a retry after the answer gets the same answer") {
    const auto first = cluster.Ask(0, cluster.Booking("k", "w"));
    REQUIRE(first.answer.status == 200);
    RunFor(100);
    for (std::size_t daemon : {0U, 1U}) {
      const auto again = cluster.Ask(daemon, cluster.Booking("k", "w"));
      CHECK(again.answer.body == first.answer.body);
      CHECK(HeaderValue(again.answer.headers, "Firmoor-Replayed") == "true");
    }
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("keyed: another body is refused and does not run") {
    REQUIRE(cluster.Ask(0, cluster.Booking("k", "w")).answer.status == 200);
    const auto other = cluster.Ask(1, cluster.Booking("k", "v", "", "sunday"));
    CHECK(other.answer.status == 422);
    CHECK(OutcomeOf(other) == "not-run");
    CHECK(cluster.RunsOf("v") == 0);
  }
  SUBCASE("what was declared not run goes to another upstream") {
    cluster.Control(cluster.plain(0).endpoint,
                    {{"act", "refuse"}, {"count", 1}});
    const auto first = cluster.Ask(0, cluster.Booking("k", "w"));
    CHECK(first.answer.status == 200);
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("what is refused everywhere is not run, and its key stays free") {
    for (std::size_t i : {0U, 1U}) {
      cluster.Control(cluster.plain(i).endpoint,
                      {{"act", "refuse"}, {"count", 100}});
    }
    const auto first = cluster.Ask(0, cluster.Booking("k", "w"));
    CHECK(first.answer.status == 503);
    CHECK(OutcomeOf(first) == "not-run");
    CHECK(HeaderValue(first.answer.headers, "Retry-After") == "1");
    CHECK(cluster.RunsOf("w") == 0);
    for (std::size_t i : {0U, 1U}) {
      cluster.Control(cluster.plain(i).endpoint, {{"count", 0}});
    }
    RunFor(1'500);
    CHECK(cluster.Ask(1, cluster.Booking("k", "w")).answer.status == 200);
    CHECK(cluster.RunsOf("w") == 1);
  }
  CHECK(cluster.BrokenInvariants() == 0);
}

TEST_CASE("the same key through two daemons at once") {
  Cluster cluster(TwoZones());
  REQUIRE(cluster.WaitReady());
  constexpr int kKeys = 40;
  std::vector<std::unique_ptr<Exchange>> exchanges;
  for (int i = 0; i < kKeys; ++i) {
    const auto name = std::to_string(i);
    for (std::size_t daemon : {0U, 1U}) {
      exchanges.push_back(std::make_unique<Exchange>(
          cluster.daemon(daemon).endpoint,
          cluster.Booking("key" + name, "work" + name, "late:50")));
    }
  }
  for (auto& exchange : exchanges) {
    REQUIRE(exchange->Wait());
    CHECK(exchange->result().answer.status == 200);
  }
  CHECK(cluster.MostRuns() == 1);
}

TEST_CASE("a daemon that dies between claim and answer") {
  Cluster cluster(TwoZones());
  REQUIRE(cluster.WaitReady());
  Exchange first(cluster.daemon(0).endpoint,
                 cluster.Booking("k", "w", "late:2000"));
  REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
  SUBCASE("killed: the retry is told that the outcome is unknown") {
    cluster.Kill(&cluster.daemon(0));
    const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(again.answer.status == 409);
    CHECK(OutcomeOf(again) == "unknown");
    RunFor(3'000);
    const auto later = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(OutcomeOf(later) == "unknown");
  }
  SUBCASE("frozen past all timeouts and woken") {
    // Busy, so that the freeze hits it inside a turn of its event loop, when
    // it does not look at its sockets before its timers.
    const auto lookups = cluster.Send(0, 300, cluster.Lookup());
    RunFor(25);
    cluster.Freeze(&cluster.daemon(0));
    const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(OutcomeOf(again) == "unknown");
    RunFor(7'000);
    cluster.Thaw(&cluster.daemon(0));
    REQUIRE(first.Wait());
    RunFor(500);
    // The answer was waiting at the socket: it is passed on and recorded.
    CHECK(first.result().answer.status == 200);
    const auto later = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(later.answer.body == first.result().answer.body);
  }
  CHECK(cluster.RunsOf("w") == 1);
}

TEST_CASE("a daemon that is frozen before it sends") {
  Cluster cluster(TwoZones());
  REQUIRE(cluster.WaitReady());
  // A slow store holds the claim while the daemon is frozen.
  cluster.ControlPlatform({{"slow_ms", 400}});
  Exchange first(cluster.daemon(0).endpoint, cluster.Booking("k", "w"));
  RunFor(500);
  cluster.Freeze(&cluster.daemon(0));
  cluster.ControlPlatform({{"slow_ms", 0}});
  RunFor(8'000);
  const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
  CHECK(again.answer.status != 0);
  cluster.Thaw(&cluster.daemon(0));
  REQUIRE(first.Wait());
  RunFor(500);
  CHECK(cluster.RunsOf("w") <= 1);
  if (OutcomeOf(first.result()) == "not-run" && again.answer.status != 200) {
    CHECK(cluster.RunsOf("w") == 0);
  }
}

TEST_CASE("the store misbehaves") {
  Cluster cluster(TwoZones());
  REQUIRE(cluster.WaitReady());
  SUBCASE("answers to claim updates are lost after the write") {
    for (int i = 0; i < 20; ++i) {
      cluster.ControlPlatform({{"lose_answers", 1}});
      const auto name = std::to_string(i);
      const auto first = cluster.Ask(static_cast<std::size_t>(i % 2),
                                     cluster.Booking(name, name));
      CHECK(first.answer.status == 200);
      CHECK(cluster.RunsOf(name) == 1);
    }
  }
  SUBCASE("reads are stale") {
    REQUIRE(cluster.Ask(0, cluster.Booking("k", "w")).answer.status == 200);
    RunFor(100);
    for (int i = 0; i < 10; ++i) {
      cluster.ControlPlatform({{"stale_reads", 5}});
      cluster.Ask(static_cast<std::size_t>(i % 2), cluster.Booking("k", "w"));
    }
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("it is away: keyed bookings are refused at once and do not run") {
    cluster.ControlPlatform({{"outage_ms", 6'000}});
    const auto started = MonotonicNow();
    const auto first = cluster.Ask(0, cluster.Booking("k", "w"));
    CHECK(first.answer.status == 503);
    // An earlier request with the key may have run: nobody can tell now.
    CHECK(OutcomeOf(first) == "unknown");
    CHECK(CodeOf(first) == 4001);
    CHECK(HeaderValue(first.answer.headers, "Retry-After") == "2");
    CHECK(MonotonicNow() - started < Duration(3'000));
    CHECK(cluster.Ask(0, cluster.Lookup()).answer.status == 200);
    CHECK(cluster.RunsOf("w") == 0);
    RunFor(6'500);
    const auto later = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(later.answer.status == 200);
    CHECK(cluster.RunsOf("w") == 1);
  }
  CHECK(cluster.BrokenInvariants() == 0);
}

TEST_CASE("each side of a partition holds a daemon") {
  auto shape = TwoZones();
  shape.relay = true;
  Cluster cluster(shape);
  REQUIRE(cluster.WaitReady());
  SUBCASE("zones are cut from each other") {
    cluster.CutZones("east", "west");
    RunFor(3'000);
    std::vector<std::unique_ptr<Exchange>> exchanges;
    for (int i = 0; i < 20; ++i) {
      const auto name = std::to_string(i);
      for (std::size_t daemon : {0U, 1U}) {
        exchanges.push_back(std::make_unique<Exchange>(
            cluster.daemon(daemon).endpoint, cluster.Booking(name, name)));
      }
    }
    int good = 0;
    for (auto& exchange : exchanges) {
      REQUIRE(exchange->Wait());
      good += exchange->result().answer.status == 200 ? 1 : 0;
    }
    CHECK(good >= 20);
    CHECK(cluster.MostRuns() == 1);
  }
  SUBCASE("one zone is cut from the platform and from the other zone") {
    cluster.CutPlatform("west");
    cluster.CutZones("east", "west");
    const auto cut = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(OutcomeOf(cut) == "unknown");
    CHECK(CodeOf(cut) == 4001);
    CHECK(cluster.RunsOf("w") == 0);
    const auto other = cluster.Ask(0, cluster.Booking("k", "w"));
    CHECK(other.answer.status == 200);
    cluster.Heal();
    RunFor(1'500);
    const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
    CHECK(again.answer.body == other.answer.body);
    CHECK(cluster.RunsOf("w") == 1);
  }
  SUBCASE("one zone is cut from the platform: claims go through the other") {
    cluster.CutPlatform("west");
    int done = 0;
    for (int i = 0; i < 20; ++i) {
      const auto name = std::to_string(i);
      const auto answer = cluster.Ask(1, cluster.Booking(name, name));
      const bool ran = answer.answer.status == 200;
      if (!ran) CHECK(CodeOf(answer) == 4001);
      CHECK(cluster.RunsOf(name) == (ran ? 1 : 0));
      done += ran ? 1 : 0;
    }
    // Those whose slot has its home in the other zone.
    CHECK(done > 0);
  }
}

}  // namespace firmoor
