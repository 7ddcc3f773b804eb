#include "serving/caller_flow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

namespace firmoor {
namespace {

using Step = CallerFlow::Step;

constexpr TimePoint kStart{Duration(1'000'000)};

}  // namespace

TEST_CASE("a stream is read as fast as its caller takes it") {
  CallerFlowTotals totals;
  CallerFlow flow(&totals);

  SUBCASE("and not paused for what one read may bring") {
    CHECK(flow.Update(64 * 1024, kStart) == Step::kNone);
    CHECK(totals.pauses == 0);
  }
  SUBCASE("so it pauses, until the caller has taken most of it") {
    CHECK(flow.Update(CallerFlow::kPauseBytes + 1, kStart) == Step::kPause);
    CHECK(flow.Update(CallerFlow::kPauseBytes, kStart) == Step::kNone);
    CHECK(flow.Update(CallerFlow::kResumeBytes, kStart) == Step::kNone);
    CHECK(flow.is_paused());
    CHECK(flow.Update(CallerFlow::kResumeBytes - 1, kStart) == Step::kResume);
    CHECK_FALSE(flow.is_paused());
    CHECK(totals.pauses == 1);
  }
  SUBCASE("and is told when the caller takes nothing") {
    CHECK(flow.Update(200'000, kStart) == Step::kPause);
    CHECK(flow.Update(200'000, kStart + Duration(5'000)) == Step::kNone);
    CHECK(flow.StalledFor(kStart + Duration(5'000)) == Duration(5'000));
    CHECK(flow.Update(190'000, kStart + Duration(6'000)) == Step::kNone);
    CHECK(flow.StalledFor(kStart + Duration(7'000)) == Duration(1'000));
    CHECK(flow.Update(0, kStart + Duration(8'000)) == Step::kResume);
    CHECK(flow.StalledFor(kStart + Duration(60'000)) == Duration(0));
  }
}

// Guards against many slow callers that together fill the memory which each
// alone leaves free.
TEST_CASE("many slow callers pause earlier than few") {
  CallerFlowTotals totals;
  std::vector<std::unique_ptr<CallerFlow>> flows;
  while (totals.held_bytes + CallerFlow::kPauseBytes <=
         CallerFlow::kMaxHeldBytes) {
    flows.push_back(std::make_unique<CallerFlow>(&totals));
    CHECK(flows.back()->Update(CallerFlow::kPauseBytes, kStart) == Step::kNone);
  }
  CallerFlow next(&totals);
  CHECK(next.Update(CallerFlow::kPauseBytes, kStart) == Step::kPause);
  flows.clear();
  CHECK(totals.held_bytes == CallerFlow::kPauseBytes);
  CHECK(totals.paused == 1);
}

TEST_CASE("what is held for all callers is the sum of each") {
  rc::check([](const std::vector<std::pair<std::uint8_t, std::uint32_t>>& all) {
    constexpr std::size_t kMostBytes = 1'000'000;
    CallerFlowTotals totals;
    std::vector<std::unique_ptr<CallerFlow>> flows(4);
    for (auto& flow : flows) flow = std::make_unique<CallerFlow>(&totals);
    for (const auto& [which, bytes] : all) {
      auto& flow = flows[which % flows.size()];
      flow->Update(bytes % kMostBytes, kStart);
      if (which >= 250) flow->End();
      std::size_t sum = 0;
      std::size_t paused = 0;
      for (const auto& each : flows) {
        sum += each->unsent_bytes();
        paused += each->is_paused() ? 1 : 0;
      }
      RC_ASSERT(totals.held_bytes == sum);
      RC_ASSERT(totals.paused == paused);
    }
    flows.clear();
    RC_ASSERT(totals.held_bytes == 0U);
    RC_ASSERT(totals.paused == 0U);
  });
}

}  // namespace firmoor
