#include <doctest/doctest.h>

#include <cstddef>

#include "shortage_fleet_model.h"

namespace firmoor {
namespace {

constexpr std::size_t kFleetSizes[] = {8, 74};
constexpr Duration kCalm{5'000};
constexpr Duration kShortage{20'000};
// A kind is served at most this much less often than a less urgent one.
constexpr double kKindSlack = 0.05;
// No workspace is served less than this part of the mean share.
constexpr double kLeastPart = 0.25;
// The floor of less urgent kinds: not a quarter below the mean.
constexpr double kLeastKindPart = 0.75;
// Classes that differ in nothing but place or size.
constexpr double kAlikeSlack = 0.1;
constexpr double kServedInCalm = 0.95;

using Result = ShortageFleetModel::Result;

void CheckUrgentFirst(const Result& result) {
  for (std::size_t kind = 0; kind + 1 < ShortageFleetModel::kKinds; ++kind) {
    INFO("kind ", kind, " ", result.kinds[kind].Share(), " next ",
         result.kinds[kind + 1].Share());
    CHECK(result.kinds[kind].Share() >=
          result.kinds[kind + 1].Share() - kKindSlack);
  }
}

void CheckNobodyStarves(const Result& result) {
  const double mean = result.all.Share();
  INFO("all ", mean, " least urgent ", result.kinds.back().Share());
  for (const auto& kind : result.kinds) {
    CHECK(kind.Share() >= kLeastKindPart * mean);
  }
  for (const auto& workspace : result.workspaces) {
    CHECK(workspace.Share() >= kLeastPart * mean);
  }
  for (const auto& zone : result.zones) {
    CHECK(zone.Share() >= mean - kAlikeSlack);
  }
  CHECK(result.large.Share() >= mean - kAlikeSlack);
}

/// Makes `model` short of room with `begin`, and calm again with `end`.
template <typename Change>
void CheckShortage(Change begin, Change end) {
  for (const auto daemons : kFleetSizes) {
    for (const bool keeps_coordinator : {true, false}) {
      CAPTURE(daemons);
      CAPTURE(keeps_coordinator);
      ShortageFleetModel model(daemons);
      model.Run(kCalm);
      begin(&model);
      if (!keeps_coordinator) {
        model.Run(kCalm);
        model.has_coordinator = false;
      }
      const auto result = model.Run(kShortage);
      CheckUrgentFirst(result);
      CheckNobodyStarves(result);
      end(&model);
      model.has_coordinator = true;
      model.Run(kCalm + kCalm);
      const auto calm = model.Run(kCalm);
      CHECK(calm.all.Share() > kServedInCalm);
      CHECK(calm.refused == decltype(calm.refused){});
    }
  }
}

using Change = void (*)(ShortageFleetModel*);

}  // namespace

// Guards against refusing the kind with the shortest objective first, which is
// the most urgent one.
TEST_CASE("while a service is short of room") {
  SUBCASE("as the most urgent kind bursts") {
    CheckShortage<Change>([](auto* model) { model->kind_factor[0] = 2.4; },
                          [](auto* model) { model->kind_factor[0] = 1; });
  }
  SUBCASE("as the least urgent kind bursts") {
    CheckShortage<Change>([](auto* model) { model->kind_factor[2] = 2.4; },
                          [](auto* model) { model->kind_factor[2] = 1; });
  }
  SUBCASE("as a workspace sends six times its usual") {
    CheckShortage<Change>([](auto* model) { model->workspace_factor = 6; },
                          [](auto* model) { model->workspace_factor = 1; });
  }
  SUBCASE("as half of the engines go") {
    CheckShortage<Change>([](auto* model) { model->capacity = 0.5; },
                          [](auto* model) { model->capacity = 1; });
  }
  SUBCASE("as power is back and engines follow slowly") {
    CheckShortage<Change>([](auto* model) { model->capacity = 0.2; },
                          [](auto* model) { model->capacity = 1; });
  }
  SUBCASE("as many prompts share a part") {
    CheckShortage<Change>([](auto* model) { model->hot_part = 0.3; },
                          [](auto* model) { model->hot_part = 0.1; });
  }
}

TEST_CASE("a large workspace does not push out small ones") {
  ShortageFleetModel model(74);
  model.Run(kCalm);
  model.workspace_factor = 6;
  model.Run(kCalm);
  const auto result = model.Run(kShortage);
  for (std::size_t i = 3; i < ShortageFleetModel::kWorkspaces; ++i) {
    INFO("workspace ", i, " ", result.workspaces[i].Share(), " all ",
         result.all.Share());
    CHECK(result.workspaces[i].Share() > result.workspaces[0].Share());
    CHECK(result.workspaces[i].Share() >= result.all.Share() - kKindSlack);
  }
}

TEST_CASE("prompts of other parts are served beside a hot one") {
  ShortageFleetModel model(74);
  model.Run(kCalm);
  model.hot_part = 0.3;
  const auto result = model.Run(kShortage);
  const double others = (result.all.served - result.hot.served) /
                        (result.all.owed - result.hot.owed);
  CHECK(others > 0.9);
}

// Guards against callers that wait as they were told and are refused again.
TEST_CASE("callers that come back at their turn are served") {
  for (const std::size_t kind : {0, 2}) {
    ShortageFleetModel model(74);
    model.Run(kCalm);
    model.kind_factor[kind] = 2.4;
    const auto result = model.Run(kShortage);
    INFO("kind ", kind, " admitted ", result.admitted_at_turn, " refused ",
         result.refused_at_turn);
    CHECK(result.admitted_at_turn > 0);
    CHECK(result.refused_at_turn * 20 <= result.admitted_at_turn);
  }
}

}  // namespace firmoor
