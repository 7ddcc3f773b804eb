#include "gateway/coordinator_service.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "coordinator_fixture.h"

namespace firmoor {

TEST_CASE("two daemons elect one coordinator") {
  DaemonPair pair;
  auto& cloud = pair.cloud;
  REQUIRE(pair.WaitHolder());

  SUBCASE("only the coordinator reports usage and orders upstreams") {
    REQUIRE(WaitUntil(
        [&] { return cloud.reports.size() > 1 && !cloud.orders.empty(); },
        8'000));
    CHECK(pair.first.coordination.IsHolder() !=
          pair.second.coordination.IsHolder());
    std::set<std::string> names;
    for (const auto& holder : cloud.holders) names.insert(holder.daemon);
    CHECK(names.size() == 1);
  }
  SUBCASE("the standby takes over when the coordinator alone loses the store") {
    auto& holder = pair.Holder();
    auto& standby = pair.Standby();
    RunFor(1'500);
    holder.own_store.Disconnect();
    CHECK(WaitUntil([&] { return standby.coordination.IsHolder(); }, 9'000));
  }
  SUBCASE("a standby that knows the lease's age does not wait a whole lease") {
    auto& holder = pair.Holder();
    auto& standby = pair.Standby();
    RunFor(2'500);
    holder.coordination.Stop();
    // Two missed replies, after which the lease of 1.8 s that the standby knows
    // of has expired, and a few polls.
    CHECK(WaitUntil([&] { return standby.coordination.IsHolder(); }, 3'200));
  }
  SUBCASE("usage waits for an unresponsive daemon except while draining") {
    auto& holder = pair.Holder();
    auto& standby = pair.Standby();
    REQUIRE(WaitUntil([&] { return cloud.reports.size() > 1; }, 8'000));
    standby.coordination.Stop();
    RunFor(2'500);
    const auto before = cloud.reports.size();
    RunFor(1'000);
    CHECK(cloud.reports.size() == before);
    holder.gateway.StartDrain(MonotonicNow() + Duration(8'000));
    CHECK(WaitUntil([&] { return cloud.reports.size() > before; }, 1'500));
  }
  SUBCASE("the standby takes over when the coordinator stops") {
    auto& holder = pair.Holder();
    auto& standby = pair.Standby();
    REQUIRE(WaitUntil([&] { return cloud.reports.size() > 1; }, 8'000));
    const auto fencing = cloud.holders.back().fencing;
    holder.coordination.Stop();
    REQUIRE(WaitUntil([&] { return standby.coordination.IsHolder(); }, 8'000));
    const auto calls = cloud.holders.size();
    REQUIRE(WaitUntil([&] { return cloud.holders.size() > calls; }, 8'000));
    CHECK(cloud.holders.back().fencing > fencing);
  }
}

// Guards against a planned stop that leaves the fleet without a coordinator
// until the lease expires (issue 46).
TEST_CASE("a coordinator that drains hands the lease over") {
  DaemonPair pair;
  auto& cloud = pair.cloud;
  REQUIRE(pair.WaitHolder());
  auto& holder = pair.Holder();
  auto& standby = pair.Standby();
  // The standby has settled, and the term is older than a lease.
  RunFor(3'500);
  REQUIRE(!cloud.holders.empty());
  const auto fencing = cloud.holders.back().fencing;
  const auto drain = [&] {
    holder.gateway.StartDrain(MonotonicNow() + Duration(8'000));
  };

  SUBCASE("at once, and the next one reports usage with a higher number") {
    drain();
    CHECK(WaitUntil([&] { return standby.coordination.IsHolder(); }, 1'000));
    CHECK(!holder.coordination.IsHolder());
    const auto calls = cloud.holders.size();
    REQUIRE(WaitUntil([&] { return cloud.holders.size() > calls; }, 5'000));
    CHECK(cloud.holders.back().fencing > fencing);
    CHECK(cloud.holders.back().daemon != cloud.holders.front().daemon);
    CHECK(!cloud.has_contradiction);
    RunFor(2'500);
    CHECK(!holder.coordination.IsHolder());
  }
  SUBCASE("but not to a daemon that drains too") {
    standby.gateway.StartDrain(MonotonicNow() + Duration(8'000));
    RunFor(1'200);
    drain();
    RunFor(1'500);
    CHECK(holder.coordination.IsHolder());
    CHECK(!standby.coordination.IsHolder());
  }
  SUBCASE("or its lease expires if the store does not answer it") {
    holder.own_store.Disconnect();
    drain();
    CHECK(WaitUntil([&] { return standby.coordination.IsHolder(); }, 9'000));
    CHECK(!cloud.has_contradiction);
  }
}

// Guards against a lease that is taken by a daemon that stops soon after, so
// that the fleet has no coordinator twice (soak seed 1041).
TEST_CASE("a daemon that drains leaves an expired lease to others") {
  MemoryStore store;
  RecordingCloudApi cloud;
  const auto make = [&](const char* name) {
    auto daemon = std::make_unique<CoordinatorDaemon>(name, ReservePort(),
                                                      &store, &cloud);
    REQUIRE(daemon->coordination.Start());
    return daemon;
  };
  const auto holder = make("holder");
  REQUIRE(WaitUntil([&] { return holder->coordination.IsHolder(); }, 9'000));
  const auto draining = make("draining");
  RunFor(2'500);
  draining->gateway.StartDrain(MonotonicNow() + Duration(20'000));

  SUBCASE("to one that stays") {
    const auto other = make("other");
    RunFor(2'500);
    holder->coordination.Stop();
    CHECK(WaitUntil([&] { return other->coordination.IsHolder(); }, 3'500));
    CHECK(!draining->coordination.IsHolder());
  }
  SUBCASE("and takes it a lease later if there is none") {
    holder->coordination.Stop();
    RunFor(3'200);
    CHECK(!draining->coordination.IsHolder());
    CHECK(WaitUntil([&] { return draining->coordination.IsHolder(); }, 3'000));
  }
}

}  // namespace firmoor
