#include <doctest/doctest.h>

#include "rollout_fleet_model.h"

namespace firmoor {
namespace {

// Of the operators' rules: share, and requests beyond it.
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;

template <std::int64_t kFromMs>
ModelAnswer FailsFrom(const ModelRequest& request, double random) {
  if (request.is_target && request.ms > kFromMs && random < 0.4) {
    return {true, 30};
  }
  return {random < 0.002, 30 + 40 * random};
}

TEST_CASE("Exposure holds if a version fails in its last seconds") {
  // Guards against a fault that appears only when all requests move already.
  RolloutFleetModel::Config config;
  config.daemons = 74;
  SUBCASE("from 10.5 s on") { config.answer = FailsFrom<10'500>; }
  SUBCASE("from 11 s on") { config.answer = FailsFrom<11'000>; }
  SUBCASE("from 11.5 s on") { config.answer = FailsFrom<11'500>; }
  SUBCASE("from 12 s on") { config.answer = FailsFrom<12'000>; }
  const auto result = RolloutFleetModel::Play(config);
  const double allowed =
      kExposeShare * static_cast<double>(result.requests) + kExposeSlack;
  MESSAGE("exposed " << result.exposed << " of " << result.requests
                     << ", allowed " << allowed << ", bad " << result.bad
                     << ", state " << result.state);
  CHECK(static_cast<double>(result.exposed) <= allowed);
}

}  // namespace
}  // namespace firmoor
