#include "details/freeze_guard.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a process that was frozen") {
  TimePoint now{Duration(10'000)};
  details::FreezeGuard guard(now);
  now += Duration(20);
  // Guards against answers that are discarded when the freeze comes before the
  // first iteration, on a busy machine.
  SUBCASE("before its first iteration skips the checks of that one") {
    CHECK_FALSE(guard.MayCheckDeadlines(now + Duration(7'000)));
    CHECK(guard.MayCheckDeadlines(now + Duration(7'020)));
    return;
  }
  CHECK(guard.MayCheckDeadlines(now));
  SUBCASE("skips the deadline checks of one event loop iteration") {
    now += Duration(7'000);
    CHECK_FALSE(guard.MayCheckDeadlines(now));
    CHECK(guard.MayCheckDeadlines(now + Duration(20)));
  }
  SUBCASE("is told apart from a slow one") {
    CHECK(guard.MayCheckDeadlines(now + Duration(300)));
  }
}

}  // namespace firmoor
