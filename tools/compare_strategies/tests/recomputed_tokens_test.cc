#include <doctest/doctest.h>

#include "deployments.h"

namespace firmoor {

TEST_CASE("recomputed tokens are at most half of the baselines'") {
  auto scenario = Scenario::kSteady;
  SUBCASE("under steady load") {}
  SUBCASE("in a reclaim wave") { scenario = Scenario::kReclaimWave; }
  for (const auto& deployment : Deployments()) {
    CAPTURE(deployment.name);
    RunShape shape;
    shape.deployment = deployment;
    shape.scenario = scenario;
    const auto run = [&](const char* strategy) {
      shape.strategy = strategy;
      return FleetModel(shape).Run().recomputed_tokens;
    };
    const double chosen = run("expected-time");
    CHECK(chosen <= run("round-robin") / 2);
    CHECK(chosen <= run("least-in-flight") / 2);
  }
}

}  // namespace firmoor
