#include "details/freeze_guard.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a process that was frozen") {
  details::FreezeGuard guard;
  TimePoint now{Duration(10'000)};
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
