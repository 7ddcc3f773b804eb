#include <doctest/doctest.h>

#include <iostream>

#include "paused_fleet.h"

namespace firmoor {

// Guards against a pause of a service on which a large fleet repeats more than
// the shared budget allows, since each daemon may save a whole retry.
TEST_CASE("attempts of a large fleet stay within the shared budget") {
  ForEachPause(295, [](const FleetSetup& setup) {
    const auto counts = PausedFleet(setup).Run();
    std::cout << Describe(setup, counts);
    CAPTURE(Describe(setup, counts));
    CHECK(counts.worst_excess <= 0);
  });
}

}  // namespace firmoor
