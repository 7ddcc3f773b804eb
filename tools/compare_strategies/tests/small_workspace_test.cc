#include <doctest/doctest.h>

#include "deployments.h"

namespace firmoor {

TEST_CASE("a small workspace under another's tenfold load") {
  // Its p95 to the first token stays within 1.5 times its quiet p95.
  for (const auto& deployment : Deployments()) {
    CAPTURE(deployment.name);
    RunShape shape;
    shape.deployment = deployment;
    shape.strategy = "expected-time";
    const double quiet = FleetModel(shape).Run().small_p95_ms;
    shape.scenario = Scenario::kHotWorkspace;
    CHECK(FleetModel(shape).Run().small_p95_ms <= 1.5 * quiet);
  }
}

}  // namespace firmoor
