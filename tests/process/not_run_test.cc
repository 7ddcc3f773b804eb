#include <doctest/doctest.h>

#include "cluster.h"

namespace firmoor {
namespace {

ClusterShape OneZone() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 1, 1}};
  shape.configuration = {
      {"workspaces",
       QJsonObject{{"salon", QJsonObject{{"max_in_flight", 4}}}}}};
  return shape;
}

}  // namespace

TEST_CASE("a booking that ran and whose caller got no answer") {
  Cluster cluster(OneZone());
  REQUIRE(cluster.WaitReady());
  auto first = std::make_unique<Exchange>(
      cluster.daemon(0).endpoint, cluster.Booking("k", "w", "late:2500"));
  REQUIRE(WaitUntil([&] { return cluster.RunsOf("w") == 1; }));
  cluster.Kill(&cluster.daemon(0));
  const auto again = [&] { return cluster.Ask(1, cluster.Booking("k", "w")); };

  SUBCASE("is not called not run while the store is away") {
    cluster.ControlPlatform({{"outage_ms", 4'000}});
    CHECK(OutcomeOf(again()) == "unknown");
  }
  SUBCASE("is not called not run when no upstream is left") {
    cluster.PublishVms({cluster.plain(0).name});
    RunFor(800);
    const auto refused = again();
    CHECK(CodeOf(refused) == 3001);
    CHECK(OutcomeOf(refused) == "unknown");
    SUBCASE("while one that never ran is") {
      const auto other = cluster.Ask(1, cluster.Booking("j", "v"));
      CHECK(OutcomeOf(other) == "not-run");
      CHECK(HeaderValue(other.answer.headers, "Retry-After") == "1");
    }
  }
  SUBCASE("is not called not run by a daemon that is full") {
    const auto full = cluster.Send(1, 4, cluster.Lookup("late:700"));
    RunFor(200);
    const auto refused = again();
    CHECK(refused.answer.status == 429);
    CHECK(OutcomeOf(refused) == "unknown");
    for (auto& exchange : full) REQUIRE(exchange->Wait());
  }
  SUBCASE("is not called not run by a daemon that starts or stops") {
    cluster.Start(&cluster.daemon(0));
    HttpFetchResult answer;
    REQUIRE(WaitUntil([&] {
      answer = cluster.Ask(0, cluster.Booking("k", "w"));
      return answer.end == HttpCallEnd::kComplete;
    }));
    CHECK(OutcomeOf(answer) == "unknown");
    Exchange open(cluster.daemon(1).endpoint, cluster.Lookup("late:1000"));
    RunFor(50);
    cluster.Terminate(&cluster.daemon(1));
    RunFor(50);
    const auto late = again();
    if (late.end == HttpCallEnd::kComplete) {
      CHECK(OutcomeOf(late) == "unknown");
    }
    REQUIRE(open.Wait());
  }
  CHECK(cluster.RunsOf("w") == 1);
}

TEST_CASE("a refused booking whose answer is recorded gets that answer") {
  Cluster cluster(OneZone());
  REQUIRE(cluster.WaitReady());
  const auto first = cluster.Ask(0, cluster.Booking("k", "w"));
  REQUIRE(first.answer.status == 200);
  RunFor(300);
  cluster.PublishVms({cluster.plain(0).name});
  RunFor(800);
  const auto again = cluster.Ask(1, cluster.Booking("k", "w"));
  CHECK(again.answer.body == first.answer.body);
  CHECK(cluster.RunsOf("w") == 1);
}

}  // namespace firmoor
