#include "gateway/autoscaler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(100'000)};

/// A cloud that starts engines at once. The limits of a zone hold for both
/// kinds together.
struct World {
  Autoscaler::Input input;
  Autoscaler duty{kStart};
  TimePoint now = kStart;
  bool dry = false;
  std::string dry_zone;  ///< The only one without any to be had.
  int orders = 0;
  int next_id = 0;

  World() {
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
    for (const auto* zone : {"a", "b", "c"}) Set(zone, false, 3);
  }
  void Set(const std::string& zone, bool reclaimable, int count) {
    std::erase_if(input.upstreams, [&](const auto& held) {
      return held.second.availability_zone == zone &&
             held.second.reclaimable == reclaimable;
    });
    for (int i = 0; i < count; ++i) Add(zone, reclaimable);
  }
  void Add(const std::string& zone, bool reclaimable) {
    UpstreamEntry entry;
    entry.id = "u" + std::to_string(next_id++);
    entry.service = "engine";
    entry.availability_zone = zone;
    entry.reclaimable = reclaimable;
    input.upstreams[entry.id] = entry;
  }
  void Demand(double tokens_per_s) {
    input.loads["engine"].tokens_per_s = tokens_per_s;
  }
  /// Requests that are at engines.
  void Hold(double requests) { input.loads["engine"].in_flight = requests; }
  int Count(const std::string& zone, bool reclaimable) const {
    const auto counts = Autoscaler::CountServing(input);
    const auto found = counts.find({"engine", zone, reclaimable});
    return found == counts.end() ? 0 : found->second;
  }
  /// Engines of both kinds that a zone may have.
  int Limit() const { return input.services[0].scaling->max_per_zone; }
  int Total() const { return static_cast<int>(input.upstreams.size()); }
  void Run(Duration time) {
    for (const auto end = now + time; now < end; now += Duration(250)) {
      const auto order = duty.Next(input, now);
      if (!order) continue;
      ++orders;
      const bool is_dry = dry || order->availability_zone == dry_zone;
      const bool refused = is_dry && order->reclaimable &&
                           order->count > Count(order->availability_zone, true);
      if (!refused) {
        const int others = Count(order->availability_zone, !order->reclaimable);
        Set(order->availability_zone, order->reclaimable,
            std::min(order->count, Limit() - others));
      }
      duty.OnOrdered(
          *order, refused ? CloudStatus::kNoCapacity : CloudStatus::kOk, now);
    }
  }
};

}  // namespace

TEST_CASE("engines are ordered in two markets") {
  World world;
  world.Demand(200'000);
  world.Run(Duration(20'000));

  SUBCASE("all reclaimable while they can be had, and spread over the zones") {
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(world.Count(zone, false) == 0);
      // Half of the eight that the demand needs: any one zone may go.
      CHECK(world.Count(zone, true) >= 4);
    }
  }
  SUBCASE("with the smallest number of each zone, whatever the demand") {
    world.Demand(0);
    world.Run(Duration(40'000));
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(world.Count(zone, false) + world.Count(zone, true) == 1);
    }
  }
  SUBCASE("with few orders once they stand") {
    const int before = world.orders;
    world.Run(Duration(20'000));
    CHECK(world.orders == before);
  }
  SUBCASE("with more when demand grows") {
    const int before = world.Total();
    world.Demand(400'000);
    world.Run(Duration(3'000));
    CHECK(world.Total() > before);
    SUBCASE("and fewer only when it stays low") {
      const int most = world.Total();
      world.Demand(50'000);
      world.Run(Duration(20'000));
      CHECK(world.Total() == most);
      world.Run(Duration(20'000));
      CHECK(world.Total() < most);
    }
  }
}

TEST_CASE("engines and coordinator start together, before there is demand") {
  World world;
  world.input.services[0].scaling->max_per_zone = 12;
  // The coordinator begins when half of the six engines a zone are listed.
  for (const auto* zone : {"a", "b", "c"}) world.Set(zone, false, 3);
  for (int listed = 3; listed < 6; ++listed) {
    for (const auto* zone : {"a", "b", "c"}) world.Add(zone, false);
    world.Run(Duration(250));
  }
  world.Run(Duration(5'000));

  SUBCASE("as many stand for the first callers as were given") {
    CHECK(world.Total() >= 18);
  }
  SUBCASE("and those on demand are replaced before the callers come") {
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(world.Count(zone, false) == 0);
    }
  }
}

TEST_CASE("all reclaimable engines of a zone are taken (reclaim, dry)") {
  World world;
  world.Demand(200'000);
  world.Run(Duration(20'000));
  const int needed = 8;
  world.dry = true;
  world.Set("a", true, 0);

  SUBCASE("and enough are left") { CHECK(world.Total() >= needed); }
  SUBCASE("and are ordered again until they can be had") {
    world.Run(Duration(8'000));
    CHECK(world.Count("a", true) == 0);
    world.dry = false;
    world.Run(Duration(4'000));
    CHECK(world.Count("a", true) >= 2);
  }
  SUBCASE("and when too few are left, some are bought on demand") {
    world.Set("b", true, 0);
    world.Set("c", true, 0);
    world.Run(Duration(8'000));
    CHECK(world.Total() >= 4);
  }
}

TEST_CASE(
    "one zone loses its reclaimable engines, others can be had elsewhere") {
  World world;
  world.Demand(140'000);
  world.Run(Duration(20'000));
  const int before = world.Count("b", true);
  world.dry_zone = "a";
  world.Set("a", true, 0);
  world.Run(Duration(8'000));

  SUBCASE("the other zones carry its part, with none on demand") {
    CHECK(world.Count("b", true) > before);
    CHECK(world.Count("c", true) > before);
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(world.Count(zone, false) == 0);
    }
    SUBCASE("and enough are left when the next one goes as well") {
      world.Set("b", true, 0);
      CHECK(world.Total() >= 5);
    }
  }
  SUBCASE("they give it back only when the zone serves again") {
    world.dry_zone = "";
    for (int step = 0; step < 40; ++step) {
      world.Run(Duration(250));
      const bool gave_back = world.Count("b", true) == before;
      if (gave_back) CHECK(world.Count("a", true) == before);
    }
    CHECK(world.Count("b", true) == before);
  }
}

TEST_CASE("zone after zone loses its reclaimable engines, none to be had") {
  World world;
  world.Demand(200'000);
  world.Run(Duration(20'000));
  world.dry = true;
  // Engines take seconds to start, so those that are left when a zone goes
  // must do: half of the eight that the demand needs.
  constexpr int kLeast = 4;

  for (const auto* zone : {"a", "b", "c"}) {
    world.Set(zone, true, 0);
    CAPTURE(zone);
    CHECK(world.Total() >= kLeast);
    world.Run(Duration(6'000));
  }
}

TEST_CASE("zones go one after the other soon after an order (early waves)") {
  World world;
  world.Demand(140'000);
  world.Run(Duration(20'000));
  world.Demand(200'000);
  world.Run(Duration(2'000));
  world.dry = true;
  constexpr int kLeast = 4;  // Half of the eight that the demand needs.

  world.Set("a", true, 0);
  CHECK(world.Total() >= kLeast);
  world.Run(Duration(750));
  world.Set("b", true, 0);
  CHECK(world.Total() >= kLeast);
  world.Run(Duration(1'000));
  SUBCASE("those on demand are ordered in time to serve before the last goes") {
    CHECK(world.Count("a", false) + world.Count("b", false) +
              world.Count("c", false) >=
          kLeast);
  }
  SUBCASE("and enough are left when it goes") {
    world.Run(Duration(4'300));
    world.Set("c", true, 0);
    CHECK(world.Total() >= kLeast);
  }
}

TEST_CASE("engines on demand fill a zone when reclaimable ones are back") {
  World world;
  world.Demand(400'000);
  world.Run(Duration(20'000));
  world.dry = true;
  for (const auto* zone : {"a", "b", "c"}) world.Set(zone, true, 0);
  world.Run(Duration(10'000));
  // Seven tenths of the fifteen that the demand needs.
  constexpr int kLeast = 10;
  REQUIRE(world.Total() >= kLeast);
  // Some zone has no room beside them for the five that it should have.
  REQUIRE(std::max({world.Count("a", false), world.Count("b", false),
                    world.Count("c", false)}) +
              5 >
          world.Limit());
  world.dry = false;

  SUBCASE("they make room step by step, and too few never serve") {
    for (int step = 0; step < 60; ++step) {
      world.Run(Duration(500));
      CHECK(world.Total() >= kLeast);
    }
    for (const auto* zone : {"a", "b", "c"}) {
      CHECK(world.Count(zone, false) == 0);
      CHECK(world.Count(zone, true) == world.Limit());
    }
  }
}

TEST_CASE("engines on demand follow the demand while none are reclaimable") {
  World world;
  world.Demand(400'000);
  world.Run(Duration(20'000));
  world.dry = true;
  for (const auto* zone : {"a", "b", "c"}) world.Set(zone, true, 0);
  world.Run(Duration(10'000));
  const int most = world.Total();
  REQUIRE(most >= 10);
  world.Demand(140'000);

  SUBCASE("not at once") {
    world.Run(Duration(5'000));
    CHECK(world.Total() == most);
  }
  SUBCASE("they go when it stays low, the dearest first") {
    world.Run(Duration(15'000));
    // The five that the demand needs.
    CHECK(world.Total() == 5);
    // The smallest number stays in the dearer zone.
    CHECK(world.Count("a", false) == 1);
    CHECK(world.Count("b", false) == 4);
  }
}

TEST_CASE("a new coordinator finds reclaimable engines, and a zone goes") {
  World world;
  for (const auto* zone : {"a", "b", "c"}) {
    world.Set(zone, false, 0);
    world.Set(zone, true, 4);
  }
  world.Demand(140'000);
  world.Run(Duration(4'000));
  world.dry = true;
  world.Set("a", true, 0);
  world.Run(Duration(6'000));

  SUBCASE("nothing is bought on demand while the rest serves the need") {
    CHECK(world.Total() == 8);
  }
}

TEST_CASE("a coordinator that was cut off and heard no daemon") {
  World world;
  world.Demand(200'000);
  world.Run(Duration(20'000));
  const int before = world.Total();
  // Without its lease it may not order. When it may again, the first daemons
  // report, and few requests were let through meanwhile.
  world.now += Duration(30'000);
  world.Demand(10'000);

  SUBCASE("keeps what serves") {
    world.Run(Duration(10'000));
    CHECK(world.Total() == before);
  }
  SUBCASE("until demand stays low") {
    world.Run(Duration(45'000));
    CHECK(world.Total() < before);
  }
}

TEST_CASE("on-demand engines stay until reclaimable ones serve") {
  World world;
  world.dry = true;
  world.Demand(200'000);
  world.Run(Duration(10'000));
  for (const auto* zone : {"a", "b", "c"}) CHECK(world.Count(zone, false) == 3);
}

TEST_CASE("few slots an engine, and requests that hold them (long answers)") {
  World world;
  world.input.services[0].engine->slots = 8;
  world.input.services[0].scaling->max_per_zone = 20;
  world.Demand(50'000);
  world.Run(Duration(20'000));
  const int by_tokens = world.Total();

  SUBCASE("engines are ordered for the slots, though the prompts need fewer") {
    world.Hold(120);
    world.Run(Duration(10'000));
    CHECK(by_tokens * 8 < 120);
    CHECK(world.Total() * 8 > 120);
    SUBCASE("and go when the slots are free again") {
      world.Hold(10);
      world.Run(Duration(60'000));
      CHECK(world.Total() <= by_tokens);
    }
  }
  SUBCASE("they are bought on demand when reclaimable ones cannot be had") {
    world.dry = true;
    world.Hold(120);
    world.Run(Duration(10'000));
    CHECK(world.Total() * 8 > 120);
  }
  SUBCASE("not when the strategy is off") {
    world.duty = Autoscaler(world.now, Strategies{.engines_for_slots = false});
    world.Hold(120);
    world.Run(Duration(20'000));
    CHECK(world.Total() * 8 < 120);
  }
}

}  // namespace firmoor
