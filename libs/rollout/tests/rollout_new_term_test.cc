#include <doctest/doctest.h>

#include "rollout/rollout_coordinator.h"
#include "rollout_fleet_model.h"

namespace firmoor {
namespace {

constexpr const char* kService = "s";
constexpr Duration kOver{12'000};

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms)); }

RolloutReport ReportOf(RolloutStage stage, std::int64_t age_ms) {
  RolloutReport report;
  report.target = "v2";
  report.age = Duration(age_ms);
  report.over = kOver;
  report.stage = stage;
  return report;
}

TEST_CASE("A new coordinator completes no roll-out that it has not watched") {
  // Guards against old upstreams that stop while daemons, of which this term
  // has not heard, have requests at them.
  RolloutCoordinator coordinator;
  coordinator.SetOrders({{kService, "v2", kOver}}, At(0));
  coordinator.NextCalls(At(0));
  coordinator.OnRead(kService, StoredRollout{"v2", kRolloutRunning, "v2"},
                     At(5));
  auto report = ReportOf(RolloutStage::kAll, 9'000);
  coordinator.OnReport("d", {{kService, report}}, At(10));
  coordinator.Advance(At(20));
  CHECK(coordinator.NextCalls(At(20)).empty());

  SUBCASE("requests come back to the old upstreams") {
    report.age = Duration(10'000);
    coordinator.OnReport("d", {{kService, report}}, At(1'010));
    coordinator.Advance(At(1'020));
    report.age = Duration(11'400);
    report.baseline_in_flight = 30;
    coordinator.OnReport("d", {{kService, report}}, At(2'410));
    coordinator.Advance(At(2'600));
    CHECK(coordinator.NextCalls(At(2'600)).empty());
  }
  SUBCASE("all is still moved later") {
    report.age = Duration(11'400);
    coordinator.OnReport("d", {{kService, report}}, At(2'410));
    coordinator.Advance(At(2'600));
    const auto calls = coordinator.NextCalls(At(2'600));
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].state == kRolloutComplete);
  }
}

TEST_CASE("Silent daemons are waited for until the last moment") {
  // Guards against a roll-out that completes early, since nothing is heard of
  // the daemons that still use the old upstreams.
  RolloutFleetModel::Config config;
  config.daemons = 74;
  config.answer = [](const ModelRequest&, double random) {
    return ModelAnswer{random < 0.002, 30 + 40 * random};
  };
  config.cut_off = 70;
  config.cut_at_ms = 7'900;
  const auto result = RolloutFleetModel::Play(config);
  MESSAGE("ended ms " << result.ended_ms.value_or(-1) << ", cut "
                      << result.cut_streams);
  REQUIRE(result.ended_ms);
  CHECK(*result.ended_ms >= config.over.count() - 600);
  CHECK(*result.ended_ms <= config.over.count());
}

}  // namespace
}  // namespace firmoor
