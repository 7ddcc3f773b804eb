#include "dissemination/staleness_monitor.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

constexpr Duration kMaxAge{2'500};
constexpr Duration kPeriod{100};

}  // namespace

TEST_CASE("a daemon whose sources are late asks the store itself") {
  StalenessMonitor monitor(kMaxAge);
  const TimePoint start{Duration(10'000)};
  CHECK_FALSE(monitor.TakeDue(kMaxAge - Duration(1), start));
  REQUIRE(monitor.TakeDue(kMaxAge, start));

  SUBCASE("again after a while, and less and less often") {
    int asked = 0;
    for (auto time = kPeriod; time <= Duration(10'000); time += kPeriod) {
      if (monitor.TakeDue(kMaxAge + time, start + time)) ++asked;
    }
    CHECK(asked >= 8);
    CHECK(asked <= 12);
  }
  SUBCASE("and at once the next time") {
    CHECK_FALSE(monitor.TakeDue(Duration(40), start + kPeriod));
    CHECK(monitor.TakeDue(kMaxAge, start + 2 * kPeriod));
  }
}

TEST_CASE("a daemon that has not listed yet is not late") {
  StalenessMonitor monitor(kMaxAge);
  CHECK_FALSE(monitor.TakeDue(std::nullopt, TimePoint(Duration(10'000))));
}

}  // namespace firmoor
