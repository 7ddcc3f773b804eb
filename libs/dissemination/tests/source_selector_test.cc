#include "dissemination/source_selector.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(10'000)};
const Endpoint kFirst{"10.0.0.1", 80};
const Endpoint kSecond{"10.0.0.2", 80};

using Place = SourceSelector::Place;

}  // namespace

TEST_CASE("a daemon without sources asks the store, also when it fails") {
  SourceSelector plan;
  CHECK(plan.Next(kStart).place == Place::kStore);
  plan.OnStoreResult(false, kStart);
  CHECK(plan.Next(kStart).place == Place::kStore);
}

TEST_CASE("a daemon with sources") {
  SourceSelector plan;
  plan.SetSources({kFirst, kSecond});
  CHECK(plan.Next(kStart) == SourceSelector::Choice{Place::kDaemon, kFirst});
  plan.OnDaemonResult(kFirst, false, kStart);

  SUBCASE("asks the other one when the first is silent") {
    CHECK(plan.Next(kStart) == SourceSelector::Choice{Place::kDaemon, kSecond});
    SUBCASE("and the first one again after a while") {
      CHECK(plan.Next(kStart + Duration(1'000)).daemon == kFirst);
    }
    SUBCASE("and the first one later when it stays silent") {
      const auto then = kStart + Duration(1'000);
      plan.OnDaemonResult(kFirst, false, then);
      CHECK(plan.Next(then + Duration(1'999)).daemon == kSecond);
      CHECK(plan.Next(then + Duration(2'000)).daemon == kFirst);
    }
  }
  SUBCASE("asks the store when both are silent") {
    plan.OnDaemonResult(kSecond, false, kStart);
    CHECK(plan.Next(kStart).place == Place::kStore);
    SUBCASE("and nobody for a moment when it fails too (store away)") {
      plan.OnStoreResult(false, kStart);
      CHECK(plan.Next(kStart).place == Place::kNone);
      CHECK(plan.Next(kStart + Duration(600)).place == Place::kStore);
      CHECK(plan.Next(kStart + Duration(1'000)).place == Place::kDaemon);
    }
  }
  SUBCASE("forgets what was when it is told of others") {
    plan.SetSources({kSecond, kFirst});
    CHECK(plan.Next(kStart).daemon == kSecond);
    plan.SetSources({});
    plan.OnDaemonResult(kFirst, true, kStart);
    CHECK(plan.Next(kStart).place == Place::kStore);
  }
}

}  // namespace firmoor
