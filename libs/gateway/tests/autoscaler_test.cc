#include "gateway/autoscaler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(100'000)};

/// An autoscaler and a cloud that starts engines immediately. A zone's limit
/// covers both markets together.
struct Fixture {
  Autoscaler::Input input;
  Autoscaler autoscaler{kStart};
  TimePoint now = kStart;
  bool no_capacity = false;           ///< No zone has reclaimable capacity.
  std::string zone_without_capacity;  ///< Has no reclaimable capacity.
  int orders = 0;
  int next_id = 0;

  Fixture() {
    ServiceProfile service;
    service.name = "engine";
    service.engine = EngineProfile{};
    ScalingProfile scaling;
    scaling.min_per_zone = 1;
    scaling.max_per_zone = 6;
    scaling.start_time = Duration(4'000);
    scaling.zone_prices = {{"a", 1}, {"b", 0.8}, {"c", 1.25}};
    service.scaling = scaling;
    input.services = {service};
    for (const auto* zone : {"a", "b", "c"}) SetEngines(zone, false, 3);
  }
  void SetEngines(const std::string& zone, bool reclaimable, int count) {
    std::erase_if(input.upstreams, [&](const auto& held) {
      return held.second.availability_zone == zone &&
             held.second.reclaimable == reclaimable;
    });
    for (int i = 0; i < count; ++i) AddEngine(zone, reclaimable);
  }
  void AddEngine(const std::string& zone, bool reclaimable) {
    UpstreamEntry entry;
    entry.id = "u" + std::to_string(next_id++);
    entry.service = "engine";
    entry.availability_zone = zone;
    entry.reclaimable = reclaimable;
    input.upstreams[entry.id] = entry;
  }
  void SetTokenRate(double tokens_per_s) {
    input.loads["engine"].tokens_per_s = tokens_per_s;
  }
  /// Sets the number of requests that engines are serving.
  void SetInFlight(double requests) {
    input.loads["engine"].in_flight = requests;
  }
  int Count(const std::string& zone, bool reclaimable) const {
    const auto counts = Autoscaler::CountServing(input);
    const auto found = counts.find({"engine", zone, reclaimable});
    return found == counts.end() ? 0 : found->second;
  }
  /// Most engines of both markets in a zone.
  int Limit() const { return input.services[0].scaling->max_per_zone; }
  int Total() const { return static_cast<int>(input.upstreams.size()); }
  void Run(Duration time) {
    for (const auto end = now + time; now < end; now += Duration(250)) {
      const auto order = autoscaler.Next(input, now);
      if (!order) continue;
      ++orders;
      const bool lacks_capacity =
          no_capacity || order->availability_zone == zone_without_capacity;
      const bool refused = lacks_capacity && order->reclaimable &&
                           order->count > Count(order->availability_zone, true);
      if (!refused) {
        const int others = Count(order->availability_zone, !order->reclaimable);
        SetEngines(order->availability_zone, order->reclaimable,
                   std::min(order->count, Limit() - others));
      }
      autoscaler.OnOrdered(
          *order, refused ? CloudStatus::kNoCapacity : CloudStatus::kOk, now);
    }
  }
};

}  // namespace

TEST_CASE("the autoscaler orders engines in two markets") {
  Fixture fixture;
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(20'000));

  SUBCASE("only reclaimable ones while available, spread over the zones") {
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(fixture.Count(zone, false) == 0);
      // Half of the eight that the demand needs: any one zone may be lost.
      CHECK(fixture.Count(zone, true) >= 4);
    }
  }
  SUBCASE("at least the minimum of each zone without any demand") {
    fixture.SetTokenRate(0);
    fixture.Run(Duration(40'000));
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(fixture.Count(zone, false) + fixture.Count(zone, true) == 1);
    }
  }
  SUBCASE("no more once the target is reached") {
    const int before = fixture.orders;
    fixture.Run(Duration(20'000));
    CHECK(fixture.orders == before);
  }
  SUBCASE("more immediately when demand grows") {
    const int before = fixture.Total();
    fixture.SetTokenRate(400'000);
    fixture.Run(Duration(3'000));
    CHECK(fixture.Total() > before);
    SUBCASE("and fewer only after demand has stayed low") {
      const int highest = fixture.Total();
      fixture.SetTokenRate(50'000);
      fixture.Run(Duration(20'000));
      CHECK(fixture.Total() == highest);
      fixture.Run(Duration(20'000));
      CHECK(fixture.Total() < highest);
    }
  }
}

TEST_CASE("engines and coordinator start together before there is demand") {
  Fixture fixture;
  fixture.input.services[0].scaling->max_per_zone = 12;
  // The coordinator starts when three of the six engines per zone are listed.
  for (const auto* zone : {"a", "b", "c"}) fixture.SetEngines(zone, false, 3);
  for (int listed = 3; listed < 6; ++listed) {
    for (const auto* zone : {"a", "b", "c"}) fixture.AddEngine(zone, false);
    fixture.Run(Duration(250));
  }
  fixture.Run(Duration(5'000));

  SUBCASE("the initial number of engines is kept for the first callers") {
    CHECK(fixture.Total() >= 18);
  }
  SUBCASE("on-demand engines are replaced before callers arrive") {
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(fixture.Count(zone, false) == 0);
    }
  }
}

TEST_CASE("a zone loses its reclaimable engines, no zone has capacity") {
  Fixture fixture;
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(20'000));
  const int needed = 8;
  fixture.no_capacity = true;
  fixture.SetEngines("a", true, 0);

  SUBCASE("the remaining engines meet the demand") {
    CHECK(fixture.Total() >= needed);
  }
  SUBCASE("lost engines are ordered again until there is capacity") {
    fixture.Run(Duration(8'000));
    CHECK(fixture.Count("a", true) == 0);
    fixture.no_capacity = false;
    fixture.Run(Duration(4'000));
    CHECK(fixture.Count("a", true) >= 2);
  }
  SUBCASE("on-demand engines are added when too few remain") {
    fixture.SetEngines("b", true, 0);
    fixture.SetEngines("c", true, 0);
    fixture.Run(Duration(8'000));
    CHECK(fixture.Total() >= 4);
  }
}

TEST_CASE("a zone loses its reclaimable engines, other zones have capacity") {
  Fixture fixture;
  fixture.SetTokenRate(140'000);
  fixture.Run(Duration(20'000));
  const int before = fixture.Count("b", true);
  fixture.zone_without_capacity = "a";
  fixture.SetEngines("a", true, 0);
  fixture.Run(Duration(8'000));

  SUBCASE("the other zones take its share without on-demand engines") {
    CHECK(fixture.Count("b", true) > before);
    CHECK(fixture.Count("c", true) > before);
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(fixture.Count(zone, false) == 0);
    }
    SUBCASE("and enough remain when the next zone is lost") {
      fixture.SetEngines("b", true, 0);
      CHECK(fixture.Total() >= 5);
    }
  }
  SUBCASE("the extra engines are released only when the zone serves again") {
    fixture.zone_without_capacity = "";
    for (int step = 0; step < 40; ++step) {
      fixture.Run(Duration(250));
      const bool released = fixture.Count("b", true) == before;
      if (released) CHECK(fixture.Count("a", true) == before);
    }
    CHECK(fixture.Count("b", true) == before);
  }
}

TEST_CASE("zones lose their reclaimable engines one by one, no capacity") {
  Fixture fixture;
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(20'000));
  fixture.no_capacity = true;
  // Replacements take seconds to start, so half of the eight engines that the
  // demand needs must remain when a zone is lost.
  constexpr int kMinimum = 4;

  for (const auto* zone : {"a", "b", "c"}) {
    fixture.SetEngines(zone, true, 0);
    CAPTURE(zone);
    CHECK(fixture.Total() >= kMinimum);
    fixture.Run(Duration(6'000));
  }
}

TEST_CASE("zones are lost one by one soon after an order") {
  Fixture fixture;
  fixture.SetTokenRate(140'000);
  fixture.Run(Duration(20'000));
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(2'000));
  fixture.no_capacity = true;
  constexpr int kMinimum = 4;  // Half of the eight that the demand needs.

  fixture.SetEngines("a", true, 0);
  CHECK(fixture.Total() >= kMinimum);
  fixture.Run(Duration(750));
  fixture.SetEngines("b", true, 0);
  CHECK(fixture.Total() >= kMinimum);
  fixture.Run(Duration(1'000));
  SUBCASE("on-demand engines are ordered before the last zone is lost") {
    CHECK(fixture.Count("a", false) + fixture.Count("b", false) +
              fixture.Count("c", false) >=
          kMinimum);
  }
  SUBCASE("enough engines remain when the last zone is lost") {
    fixture.Run(Duration(4'300));
    fixture.SetEngines("c", true, 0);
    CHECK(fixture.Total() >= kMinimum);
  }
}

TEST_CASE("on-demand engines fill a zone when reclaimable capacity returns") {
  Fixture fixture;
  fixture.SetTokenRate(400'000);
  fixture.Run(Duration(20'000));
  fixture.no_capacity = true;
  for (const auto* zone : {"a", "b", "c"}) fixture.SetEngines(zone, true, 0);
  fixture.Run(Duration(10'000));
  // 70 % of the fifteen that the demand needs, rounded down.
  constexpr int kMinimum = 10;
  REQUIRE(fixture.Total() >= kMinimum);
  // At least one zone lacks room for the five reclaimable engines that it
  // should have.
  REQUIRE(std::max({fixture.Count("a", false), fixture.Count("b", false),
                    fixture.Count("c", false)}) +
              5 >
          fixture.Limit());
  fixture.no_capacity = false;

  SUBCASE("they are released step by step, and enough serve at any time") {
    for (int step = 0; step < 60; ++step) {
      fixture.Run(Duration(500));
      CHECK(fixture.Total() >= kMinimum);
    }
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(fixture.Count(zone, false) == 0);
      CHECK(fixture.Count(zone, true) == fixture.Limit());
    }
  }
}

TEST_CASE("on-demand engines follow the demand without reclaimable capacity") {
  Fixture fixture;
  fixture.SetTokenRate(400'000);
  fixture.Run(Duration(20'000));
  fixture.no_capacity = true;
  for (const auto* zone : {"a", "b", "c"}) fixture.SetEngines(zone, true, 0);
  fixture.Run(Duration(10'000));
  const int highest = fixture.Total();
  REQUIRE(highest >= 10);
  fixture.SetTokenRate(140'000);

  SUBCASE("they are kept at first") {
    fixture.Run(Duration(5'000));
    CHECK(fixture.Total() == highest);
  }
  SUBCASE("the most expensive are released first when demand stays low") {
    fixture.Run(Duration(15'000));
    // The demand needs five engines.
    CHECK(fixture.Total() == 5);
    // The more expensive zone keeps its minimum.
    CHECK(fixture.Count("a", false) == 1);
    CHECK(fixture.Count("b", false) == 4);
  }
}

TEST_CASE("a zone is lost soon after a coordinator took over") {
  Fixture fixture;
  for (const auto* zone : {"a", "b", "c"}) {
    fixture.SetEngines(zone, false, 0);
    fixture.SetEngines(zone, true, 4);
  }
  fixture.SetTokenRate(140'000);
  fixture.Run(Duration(4'000));
  fixture.no_capacity = true;
  fixture.SetEngines("a", true, 0);
  fixture.Run(Duration(6'000));

  SUBCASE("no on-demand engines are added while the rest meet the demand") {
    CHECK(fixture.Total() == 8);
  }
}

TEST_CASE("a coordinator resumes after it was cut off from the daemons") {
  Fixture fixture;
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(20'000));
  const int before = fixture.Total();
  // Without the lease it sends no orders. When it holds the lease again, only
  // some daemons have reported, and few requests were admitted meanwhile.
  fixture.now += Duration(30'000);
  fixture.SetTokenRate(10'000);

  SUBCASE("the serving engines are kept") {
    fixture.Run(Duration(10'000));
    CHECK(fixture.Total() == before);
  }
  SUBCASE("engines are released after demand has stayed low") {
    fixture.Run(Duration(45'000));
    CHECK(fixture.Total() < before);
  }
}

TEST_CASE("on-demand engines are kept until reclaimable ones serve") {
  Fixture fixture;
  fixture.no_capacity = true;
  fixture.SetTokenRate(200'000);
  fixture.Run(Duration(10'000));
  for (const auto* zone : {"a", "b", "c"}) {
    CHECK(fixture.Count(zone, false) == 3);
  }
}

TEST_CASE("long answers occupy the few slots of each engine") {
  Fixture fixture;
  fixture.input.services[0].engine->slots = 8;
  fixture.input.services[0].scaling->max_per_zone = 20;
  fixture.SetTokenRate(50'000);
  fixture.Run(Duration(20'000));
  const int by_tokens = fixture.Total();

  SUBCASE("engines are ordered for the slots, though prompts need fewer") {
    fixture.SetInFlight(120);
    fixture.Run(Duration(10'000));
    CHECK(by_tokens * 8 < 120);
    CHECK(fixture.Total() * 8 > 120);
    SUBCASE("and released when the slots are free again") {
      fixture.SetInFlight(10);
      fixture.Run(Duration(60'000));
      CHECK(fixture.Total() <= by_tokens);
    }
  }
  SUBCASE("on-demand engines are added without reclaimable capacity") {
    fixture.no_capacity = true;
    fixture.SetInFlight(120);
    fixture.Run(Duration(10'000));
    CHECK(fixture.Total() * 8 > 120);
  }
  SUBCASE("slots are ignored when the strategy is off") {
    fixture.autoscaler =
        Autoscaler(fixture.now, Strategies{.engines_for_slots = false});
    fixture.SetInFlight(120);
    fixture.Run(Duration(20'000));
    CHECK(fixture.Total() * 8 < 120);
  }
}

}  // namespace firmoor
