#include "dissemination/source_selector.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(10'000)};
const Endpoint kFirst{"10.0.0.1", 80};
const Endpoint kSecond{"10.0.0.2", 80};

using Target = SourceSelector::Target;

}  // namespace

TEST_CASE("a daemon without sources asks the store, also when it fails") {
  SourceSelector selector;
  CHECK(selector.Next(kStart).target == Target::kStore);
  selector.OnStoreResult(false, kStart);
  CHECK(selector.Next(kStart).target == Target::kStore);
}

TEST_CASE("a daemon with sources") {
  SourceSelector selector;
  selector.SetSources({kFirst, kSecond});
  CHECK(selector.Next(kStart) ==
        SourceSelector::Choice{Target::kDaemon, kFirst});
  selector.OnDaemonResult(kFirst, false, kStart);

  SUBCASE("asks the other one when the first is silent") {
    CHECK(selector.Next(kStart) ==
          SourceSelector::Choice{Target::kDaemon, kSecond});
    SUBCASE("and the first one again after a while") {
      CHECK(selector.Next(kStart + Duration(1'000)).daemon == kFirst);
    }
    SUBCASE("and the first one later when it stays silent") {
      const auto then = kStart + Duration(1'000);
      selector.OnDaemonResult(kFirst, false, then);
      CHECK(selector.Next(then + Duration(1'999)).daemon == kSecond);
      CHECK(selector.Next(then + Duration(2'000)).daemon == kFirst);
    }
  }
  SUBCASE("asks the store when both are silent") {
    selector.OnDaemonResult(kSecond, false, kStart);
    CHECK(selector.Next(kStart).target == Target::kStore);
    SUBCASE("and nobody for a moment when it fails too (store away)") {
      selector.OnStoreResult(false, kStart);
      CHECK(selector.Next(kStart).target == Target::kNone);
      CHECK(selector.Next(kStart + Duration(600)).target == Target::kStore);
      CHECK(selector.Next(kStart + Duration(1'000)).target == Target::kDaemon);
    }
  }
  SUBCASE("forgets what was when it is told of others") {
    selector.SetSources({kSecond, kFirst});
    CHECK(selector.Next(kStart).daemon == kSecond);
    selector.SetSources({});
    selector.OnDaemonResult(kFirst, true, kStart);
    CHECK(selector.Next(kStart).target == Target::kStore);
  }
}

}  // namespace firmoor
