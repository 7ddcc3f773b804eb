#include "capacity/concurrency_limit.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

const TimePoint kNow{Duration(1'000'000)};

}  // namespace

TEST_CASE("the concurrency limit of an upstream") {
  ConcurrencyLimit limit(16);
  TimePoint now = kNow;
  for (int i = 0; i < 5; ++i) {
    now += Duration(300);
    limit.OnSample(Duration(900), Duration(400), true, now);
  }
  const auto low = limit.value();
  CHECK(low < 8);
  SUBCASE("counts one slow batch once") {
    limit.OnSample(Duration(900), Duration(400), true, now);
    CHECK(limit.value() == low);
  }
  SUBCASE("rises when answers are in time at full load") {
    for (int i = 0; i < 200; ++i) {
      limit.OnSample(Duration(100), Duration(400), true, now);
    }
    CHECK(limit.value() == 16);
  }
}

}  // namespace firmoor
