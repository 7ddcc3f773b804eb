#include "dissemination/source_selector.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

const TimePoint kStart{Duration(10'000)};
const Endpoint kFirst{"10.0.0.1", 80};
const Endpoint kSecond{"10.0.0.2", 80};

using Target = SourceSelector::Target;

}  // namespace

TEST_CASE("a daemon without sources reads the store, even when it fails") {
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

  SUBCASE("falls back to the second source when the first fails") {
    CHECK(selector.Next(kStart) ==
          SourceSelector::Choice{Target::kDaemon, kSecond});
    SUBCASE("and retries the first after a delay") {
      CHECK(selector.Next(kStart + Duration(1'000)).daemon == kFirst);
    }
    SUBCASE("and doubles the delay when the first fails again") {
      const auto later = kStart + Duration(1'000);
      selector.OnDaemonResult(kFirst, false, later);
      CHECK(selector.Next(later + Duration(1'999)).daemon == kSecond);
      CHECK(selector.Next(later + Duration(2'000)).daemon == kFirst);
    }
  }
  SUBCASE("reads the store when both sources fail") {
    selector.OnDaemonResult(kSecond, false, kStart);
    CHECK(selector.Next(kStart).target == Target::kStore);
    SUBCASE("and pauses when that fails too (store outage)") {
      selector.OnStoreResult(false, kStart);
      CHECK(selector.Next(kStart).target == Target::kNone);
      CHECK(selector.Next(kStart + Duration(600)).target == Target::kStore);
      CHECK(selector.Next(kStart + Duration(1'000)).target == Target::kDaemon);
    }
  }
  SUBCASE("drops the backoff of daemons that are no longer sources") {
    selector.SetSources({kSecond, kFirst});
    CHECK(selector.Next(kStart).daemon == kSecond);
    selector.SetSources({});
    selector.OnDaemonResult(kFirst, true, kStart);
    CHECK(selector.Next(kStart).target == Target::kStore);
  }
}

}  // namespace firmoor
