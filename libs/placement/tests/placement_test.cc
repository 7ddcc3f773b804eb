#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "placement/lease_elector.h"
#include "placement/lease_stagger.h"
#include "placement/planner.h"

namespace firmoor {
namespace {

constexpr TimePoint kStart{Duration(1'000'000)};

std::vector<MarketOffer> ThreeZones() {
  std::vector<MarketOffer> offers;
  for (const char* zone : {"a", "b", "c"}) {
    offers.push_back({zone, Market::kReclaimable, 1.0, 0.5});
    offers.push_back({zone, Market::kOnDemand, 3.0, 0.0});
  }
  return offers;
}

std::map<std::string, int> ByZone(const PlacementCounts& counts) {
  std::map<std::string, int> zones;
  for (const auto& [target, count] : counts) {
    zones[target.availability_zone] += count;
  }
  return zones;
}

int Total(const PlacementCounts& counts) {
  int total = 0;
  for (const auto& [target, count] : counts) total += count;
  return total;
}

}  // namespace

TEST_CASE("a holder whose renewal got no response") {
  const LeaseTiming timing{Duration(3'000), Duration(1'000), Duration(500)};
  LeaseElector elector("a", timing);
  auto now = TimePoint(Duration(10'000));
  REQUIRE(elector.NextCall(now));
  elector.OnRead(StoreStatus::kNotFound, {}, now);
  const auto taken = elector.NextCall(now);
  REQUIRE(taken);
  elector.OnWrite(StoreStatus::kOk, {0, 5}, now);
  now += Duration(1'000);
  REQUIRE(elector.NextCall(now));
  elector.OnWrite(StoreStatus::kUnavailable, {0, 0}, now);

  SUBCASE("may send orders until its previous lease expires") {
    CHECK(elector.MayOrderFenced(now + Duration(1'999)));
    CHECK_FALSE(elector.MayOrderFenced(now + Duration(2'000)));
  }
  SUBCASE("reads the object and renews with the same fencing number") {
    now += Duration(500);
    const auto read = elector.NextCall(now);
    REQUIRE(read);
    CHECK_FALSE(read->is_write);
    elector.OnRead(StoreStatus::kOk, {{0, 5}, taken->value}, now);
    const auto again = elector.NextCall(now);
    REQUIRE(again);
    CHECK(again->is_write);
    CHECK(again->expected == StoreVersion{0, 5});
    CHECK(elector.fencing() == 1);
  }
  SUBCASE("stops when it reads that another daemon holds the lease") {
    LeaseElector other("b", timing);
    other.NextCall(now);
    other.OnRead(StoreStatus::kOk, {{0, 5}, taken->value}, now);
    const auto later = now + Duration(3'000);
    const auto take = other.NextCall(later);
    REQUIRE(take);
    CHECK(take->is_write);
    now += Duration(500);
    elector.NextCall(now);
    elector.OnRead(StoreStatus::kOk, {{0, 6}, take->value}, now);
    CHECK_FALSE(elector.MayOrderFenced(now));
  }
}

TEST_CASE("a holder leaves handover state for the next one") {
  const LeaseTiming timing{Duration(3'000), Duration(1'000), Duration(500)};
  const auto now = TimePoint(Duration(10'000));
  LeaseElector elector("a", timing);
  elector.SetHandoverState("65 daemons");
  REQUIRE(elector.NextCall(now));
  elector.OnRead(StoreStatus::kNotFound, {}, now);
  const auto taken = elector.NextCall(now);
  REQUIRE(taken);

  LeaseElector other("b", timing);
  REQUIRE(other.NextCall(now));
  CHECK(other.seen_handover_state().isEmpty());
  other.OnRead(StoreStatus::kOk, {{0, 5}, taken->value}, now);
  CHECK(other.seen_handover_state() == "65 daemons");

  SUBCASE("which keeps writing it until it sets its own") {
    const auto later = now + Duration(3'000);
    const auto take = other.NextCall(later);
    REQUIRE(take);
    REQUIRE(take->is_write);
    other.OnWrite(StoreStatus::kOk, {0, 6}, later);
    LeaseElector third("c", timing);
    REQUIRE(third.NextCall(later));
    third.OnRead(StoreStatus::kOk, {{0, 6}, take->value}, later);
    CHECK(third.seen_handover_state() == "65 daemons");
  }
}

TEST_CASE("a placement plan") {
  PlacementPlanner planner(ThreeZones());
  PlacementRequirements requirements{80, 10, 1, 100};
  SUBCASE("survives the loss of any zone") {
    const auto counts = planner.Plan(requirements, kStart);
    for (const auto& [zone, count] : ByZone(counts)) {
      CHECK(Total(counts) - count >= 8);
    }
  }
  SUBCASE("keeps a minimum of on-demand VMs and buys the rest cheaply") {
    const auto counts = planner.Plan(requirements, kStart);
    int on_demand = 0;
    for (const auto& [target, count] : counts) {
      if (target.market == Market::kOnDemand) on_demand += count;
    }
    CHECK(on_demand == 3);
    CHECK(Total(counts) == 12);
  }
  SUBCASE("avoids a target that refused a start, and returns later") {
    const PlacementTarget refused{"a", Market::kReclaimable};
    planner.OnRefused(refused, kStart);
    CHECK_FALSE(planner.Plan(requirements, kStart).contains(refused));
    CHECK(Total(planner.Plan(requirements, kStart)) == 12);
    CHECK(planner.Plan(requirements, kStart + Duration(31'000))
              .contains(refused));
  }
  SUBCASE("grows immediately and shrinks after a delay") {
    CHECK(Total(planner.Plan(requirements, kStart)) == 12);
    requirements.demand = 20;
    CHECK(Total(planner.Plan(requirements, kStart + Duration(1'000))) == 12);
    CHECK(Total(planner.Plan(requirements, kStart + Duration(122'000))) == 3);
    requirements.demand = 80;
    CHECK(Total(planner.Plan(requirements, kStart + Duration(123'000))) == 12);
  }
  SUBCASE("does not follow oscillating demand") {
    planner.Plan(requirements, kStart);
    for (int i = 0; i < 60; ++i) {
      requirements.demand = i % 2 == 0 ? 20 : 80;
      CHECK(Total(planner.Plan(requirements, kStart + Duration(5'000 * i))) ==
            12);
    }
  }
  SUBCASE("limits the number of starts per step") {
    const auto wanted = planner.Plan(requirements, kStart);
    auto current = PlacementPlanner::Step({}, wanted, 4);
    CHECK(Total(current) == 4);
    current = PlacementPlanner::Step(current, wanted, 4);
    CHECK(Total(current) == 8);
  }
}

TEST_CASE("any plan") {
  const bool holds =
      rc::check("tolerates the loss of a zone and keeps its bounds", [] {
        std::vector<MarketOffer> offers;
        const int zones = *rc::gen::inRange(1, 8);
        for (int z = 0; z < zones; ++z) {
          const auto name = std::string(1, static_cast<char>('a' + z));
          offers.push_back({name, Market::kReclaimable,
                            *rc::gen::inRange(1, 100) / 10.0,
                            *rc::gen::inRange(0, 40) / 10.0});
          offers.push_back(
              {name, Market::kOnDemand, *rc::gen::inRange(1, 100) / 10.0, 0});
        }
        PlacementPlanner planner(offers);
        PlacementRequirements requirements;
        requirements.demand = *rc::gen::inRange(0, 5'000);
        requirements.requests_per_replica = *rc::gen::inRange(1, 50);
        requirements.min_replicas = *rc::gen::inRange(0, 5);
        requirements.max_replicas = 5'000;
        const auto counts = planner.Plan(requirements, kStart);
        const double required =
            std::ceil(requirements.demand / requirements.requests_per_replica);
        RC_ASSERT(Total(counts) >= requirements.min_replicas);
        if (zones > 1) {
          for (const auto& [zone, count] : ByZone(counts)) {
            RC_ASSERT(Total(counts) - count >= int(required) ||
                      Total(counts) == requirements.max_replicas);
          }
        }
      });
  CHECK(holds);
}

TEST_CASE("the stagger before an expired lease is taken over") {
  SUBCASE("is zero in a small fleet") {
    CHECK(LeaseStagger(16, 0.25, "d1/a") == Duration(0));
  }
  SUBCASE("grows with the number of daemons and differs between them") {
    const auto first = LeaseStagger(100, 1, "d1/a");
    CHECK(first > Duration(0));
    CHECK(first <= Duration(401));
    CHECK(first != LeaseStagger(100, 1, "d2/a"));
    CHECK(LeaseStagger(5'000, 1, "d1/a") <= Duration(1'001));
  }
  SUBCASE("is longer on VMs with little CPU") {
    const auto wait = [](double cores) {
      return LeaseStagger(300, cores, "d");
    };
    CHECK(wait(0.5) - wait(1) == Duration(100));
    CHECK(wait(0.12) - wait(1) >= Duration(700));
    CHECK(wait(0.01) - wait(1) == Duration(900));
  }
  SUBCASE("is a lease longer before a stop, but not for the only daemon") {
    CHECK(DrainingTakeoverDelay(2, Duration(3'000)) == Duration(3'000));
    CHECK(DrainingTakeoverDelay(1, Duration(3'000)) == Duration(0));
  }
}

TEST_CASE("hundreds of daemons compete for one lease (coordinator lost)") {
  constexpr int kDaemons = 300;
  LeaseElector previous("previous", {});
  previous.NextCall(kStart);
  previous.OnRead(StoreStatus::kNotFound, {}, kStart);
  StoredObject object{{0, 1}, previous.NextCall(kStart)->value};
  std::vector<LeaseElector> electors;
  for (int i = 0; i < kDaemons; ++i) {
    electors.emplace_back("d" + std::to_string(i), LeaseTiming{});
    electors.back().SetStagger(Duration(1 + i * 1'000 / kDaemons));
  }
  int reads = 0;
  int writes = 0;
  // Each daemon polls the lease four times a second, at different moments.
  for (Duration at(0); at < Duration(9'000); at += Duration(1)) {
    for (int i = static_cast<int>(at.count() % 250); i < kDaemons; i += 250) {
      auto& elector = electors[static_cast<std::size_t>(i)];
      const auto now = kStart + at;
      auto call = elector.NextCall(now);
      if (call && !call->is_write) {
        ++reads;
        elector.OnRead(StoreStatus::kOk, object, now);
        call = elector.NextCall(now);
      }
      if (!call) continue;
      if (!call->is_write) {
        ++reads;
        elector.OnRead(StoreStatus::kOk, object, now);
        continue;
      }
      ++writes;
      const bool good = call->expected == object.version;
      if (good) object = {{0, object.version.revision + 1}, call->value};
      elector.OnWrite(good ? StoreStatus::kOk : StoreStatus::kConflict,
                      object.version, now);
    }
  }
  int holders = 0;
  for (const auto& elector : electors) holders += elector.IsHolder() ? 1 : 0;
  CHECK(holders == 1);
  // The takeover and the renewals of the new holder.
  CHECK(writes <= 4);
  // Per daemon: the first read, one when the lease expires, and one that shows
  // the new holder.
  CHECK(reads <= 3 * kDaemons);
}

TEST_CASE("a lease") {
  LeaseElector first("first", {});
  TimePoint now = kStart;
  REQUIRE_FALSE(first.NextCall(now)->is_write);
  first.OnRead(StoreStatus::kNotFound, {}, now);
  const auto take = first.NextCall(now);
  REQUIRE(take->is_write);
  first.OnWrite(StoreStatus::kOk, {0, 1}, now);
  REQUIRE(first.MayOrderFenced(now));
  SUBCASE("is lost by a holder that was suspended past its lifetime") {
    CHECK_FALSE(first.MayOrderFenced(now + Duration(6'000)));
  }
  SUBCASE("is taken over after it was unchanged for its lifetime") {
    LeaseElector second("second", {});
    second.NextCall(now);
    second.OnRead(StoreStatus::kOk, {{0, 1}, take->value}, now);
    now += Duration(5'900);
    CHECK_FALSE(second.NextCall(now)->is_write);
    second.OnRead(StoreStatus::kOk, {{0, 1}, take->value}, now);
    now += Duration(600);
    const auto takeover = second.NextCall(now);
    REQUIRE(takeover->is_write);
    CHECK(takeover->expected == StoreVersion{0, 1});
    second.OnWrite(StoreStatus::kOk, {0, 2}, now);
    CHECK(second.fencing() == 2);
    CHECK(second.MayOrderFenced(now));
    CHECK_FALSE(second.MayOrderUnfenced(now));
  }
  SUBCASE("is taken over by a daemon that knows the clock of its holder") {
    LeaseElector second("second", {});
    // The two machines were started at different times.
    const Duration clock_offset(500'000);
    second.OnHolderClock(*first.Clock(now), now + clock_offset);
    SUBCASE("when it expires, however late it is first read") {
      now += Duration(5'900);
      REQUIRE_FALSE(second.NextCall(now + clock_offset)->is_write);
      second.OnRead(StoreStatus::kOk, {{0, 1}, take->value},
                    now + clock_offset);
      CHECK_FALSE(second.NextCall(now + clock_offset));
      const auto takeover = second.NextCall(now + clock_offset + Duration(100));
      REQUIRE(takeover);
      CHECK(takeover->is_write);
      CHECK(takeover->expected == StoreVersion{0, 1});
    }
    SUBCASE("but not if it was renewed since") {
      now += Duration(5'000);
      const auto renewal = first.NextCall(now);
      REQUIRE(renewal);
      now += Duration(1'500);
      second.NextCall(now + clock_offset);
      second.OnRead(StoreStatus::kOk, {{0, 2}, renewal->value},
                    now + clock_offset);
      const auto read = second.NextCall(now + clock_offset + Duration(600));
      REQUIRE(read);
      CHECK_FALSE(read->is_write);
    }
  }
  SUBCASE(
      "is not taken over early by a daemon that knows another holder's clock") {
    LeaseElector second("second", {});
    second.OnHolderClock({7, now + Duration(90'000)}, now);
    now += Duration(5'900);
    second.NextCall(now);
    second.OnRead(StoreStatus::kOk, {{0, 1}, take->value}, now);
    const auto read = second.NextCall(now + Duration(600));
    REQUIRE(read);
    CHECK_FALSE(read->is_write);
  }
}

}  // namespace firmoor
