#include "rollout/rollout_coordinator.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms)); }

const RolloutOrder kOrder{"s", "v2", Duration(12'000)};

RolloutReports Report(std::int64_t age_ms, RolloutStage stage,
                      std::int64_t ended, std::int64_t bad = 0) {
  RolloutReport report;
  report.target = "v2";
  report.age = Duration(age_ms);
  report.over = kOrder.over;
  report.stage = stage;
  report.requests = ended * 10;
  report.sent = ended;
  report.evidence["r"].baseline.ended = ended * 9;
  report.evidence["r"].target.ended = ended;
  report.evidence["r"].target.bad = bad;
  report.targets["a"] = {ended / 2, bad / 2, 0, 0};
  report.targets["b"] = {ended / 2, bad / 2, 0, 0};
  return {{"s", report}};
}

RolloutStage StageOf(const RolloutCoordinator& coordinator) {
  return coordinator.Replies().at("s").stage;
}

TEST_CASE("A coordinator moves a roll-out from stage to stage") {
  RolloutCoordinator coordinator;
  coordinator.SetOrders({kOrder}, At(0));
  coordinator.Advance(At(0));
  CHECK(StageOf(coordinator) == RolloutStage::kWaiting);
  auto calls = coordinator.NextCalls(At(0));
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].state.empty());
  CHECK(coordinator.NextCalls(At(10)).empty());

  SUBCASE("the store already holds a final state") {
    // Guards against a new coordinator that begins a reverted roll-out again.
    coordinator.OnRead("s", StoredRollout{"v2", kRolloutReverted, "v2"},
                       At(20));
    coordinator.Advance(At(20));
    CHECK(StageOf(coordinator) == RolloutStage::kReverted);
    CHECK(coordinator.NextCalls(At(20)).empty());
  }
  SUBCASE("the state of an earlier target does not count") {
    coordinator.OnRead("s", StoredRollout{"v2", kRolloutComplete, "v1"},
                       At(20));
    coordinator.Advance(At(20));
    CHECK(StageOf(coordinator) == RolloutStage::kCanary);
  }
  SUBCASE("a fresh order") {
    coordinator.OnRead("s", StoredRollout{"v2", "", ""}, At(20));
    coordinator.Advance(At(20));
    CHECK(StageOf(coordinator) == RolloutStage::kCanary);
    calls = coordinator.NextCalls(At(20));
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].state == kRolloutRunning);
    SUBCASE("a conflict is read again before another write") {
      coordinator.OnWritten(calls[0], false, At(30));
      CHECK(coordinator.NextCalls(At(30)).empty());
      const auto again = coordinator.NextCalls(At(400));
      REQUIRE(again.size() == 1);
      CHECK(again[0].state.empty());
    }
    SUBCASE("repeated and late reports do no harm") {
      coordinator.OnWritten(calls[0], true, At(30));
      for (int i = 0; i < 50; ++i) {
        coordinator.OnReport("d", Report(5'000, RolloutStage::kCanary, 60, 2),
                             At(5'000));
        coordinator.OnReport("d", Report(4'000, RolloutStage::kCanary, 50, 2),
                             At(5'000));
      }
      CHECK_FALSE(coordinator.HasFault());
    }
    SUBCASE("it moves all and completes once nothing is left") {
      coordinator.OnWritten(calls[0], true, At(30));
      coordinator.OnReport("d", Report(6'500, RolloutStage::kCanary, 30),
                           At(6'500));
      coordinator.OnReport("d", Report(7'500, RolloutStage::kCanary, 60),
                           At(7'500));
      coordinator.Advance(At(7'500));
      CHECK(StageOf(coordinator) == RolloutStage::kHalf);
      coordinator.Advance(At(8'400));
      CHECK(StageOf(coordinator) == RolloutStage::kAll);
      auto left = Report(8'800, RolloutStage::kAll, 90);
      left["s"].baseline_in_flight = 1;
      coordinator.OnReport("d", left, At(8'800));
      coordinator.Advance(At(8'800));
      CHECK(coordinator.NextCalls(At(8'800)).empty());
      SUBCASE("a daemon that has not heard of the order is waited for") {
        coordinator.OnReport("e", {}, At(8'900));
        coordinator.OnReport("d", Report(9'000, RolloutStage::kAll, 90),
                             At(9'000));
        coordinator.Advance(At(9'000));
        CHECK(coordinator.NextCalls(At(9'000)).empty());
      }
      SUBCASE("nothing is left") {
        coordinator.OnReport("d", Report(9'000, RolloutStage::kAll, 90),
                             At(9'000));
        coordinator.Advance(At(9'000));
        calls = coordinator.NextCalls(At(9'000));
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].state == kRolloutComplete);
        CHECK(StageOf(coordinator) == RolloutStage::kAll);
        coordinator.OnWritten(calls[0], true, At(9'010));
        coordinator.Advance(At(9'010));
        CHECK(StageOf(coordinator) == RolloutStage::kComplete);
      }
    }
    SUBCASE("another target, or none, ends it") {
      coordinator.SetOrders({{"s", "v3", Duration(12'000)}}, At(100));
      coordinator.OnWritten(calls[0], true, At(110));
      CHECK(StageOf(coordinator) == RolloutStage::kWaiting);
      coordinator.SetOrders({}, At(200));
      CHECK(coordinator.Replies().empty());
    }
  }
  SUBCASE("daemons know more than the store") {
    // Guards against a bad version that is tried again after a change of the
    // coordinator while the store is down.
    coordinator.OnRead("s", std::nullopt, At(20));
    coordinator.OnReport("d", Report(5'000, RolloutStage::kReverted, 60),
                         At(50));
    coordinator.Advance(At(60));
    CHECK(StageOf(coordinator) == RolloutStage::kReverted);
  }
}

}  // namespace
}  // namespace firmoor
