#include <doctest/doctest.h>

#include <iostream>

#include "paused_fleet.h"

namespace firmoor {
namespace {

FleetCounts RunFleet(const FleetSetup& setup) {
  const auto counts = PausedFleet(setup).Run();
  std::cout << Describe(setup, counts);
  return counts;
}

}  // namespace

// Guards against second attempts that start while no upstream is silent.
TEST_CASE("attempts of a fleet on calm traffic do not repeat") {
  for (const std::size_t daemons : {8U, 74U, 295U}) {
    for (const int events : {0, 20, 100}) {
      const FleetSetup setup{daemons, 1, events, Duration(0)};
      const auto counts = RunFleet(setup);
      CHECK(counts.repeats == 0);
      CHECK(counts.completed == counts.requests);
    }
  }
}

// Guards against a retry storm when all upstreams of a service pause.
TEST_CASE("attempts of a fleet whose service pauses stay within the budget") {
  for (const std::size_t daemons : {8U, 74U, 295U}) {
    ForEachPause(daemons, [](const FleetSetup& setup) {
      const auto counts = RunFleet(setup);
      CAPTURE(Describe(setup, counts));
      CHECK(counts.completed == counts.requests);
      CHECK(counts.repeats > 0);
      CHECK(counts.worst_busy_load < 2);
      CHECK(counts.worst_excess_of_saved <= 0);
      // attempt_race_large_fleet_test has the bound for more daemons.
      if (setup.daemons <= 74) CHECK(counts.worst_excess <= 0);
    });
  }
}

// Guards against another cause for retries beyond the shared budget than the
// whole retry that each daemon may save.
TEST_CASE("attempts of a large fleet whose shares add up stay within it") {
  ForEachPause(295, [](FleetSetup setup) {
    setup.shares_add_up = true;
    const auto counts = RunFleet(setup);
    CAPTURE(Describe(setup, counts));
    CHECK(counts.completed == counts.requests);
    CHECK(counts.worst_excess <= 0);
  });
}

}  // namespace firmoor
