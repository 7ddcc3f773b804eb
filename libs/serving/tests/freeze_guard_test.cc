#include "details/freeze_guard.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a process that was frozen") {
  details::FreezeGuard guard;
  TimePoint now{Duration(10'000)};
  CHECK(guard.MayCheckDeadlines(now));
  SUBCASE("reads its sockets for one turn before it judges deadlines") {
    now += Duration(7'000);
    CHECK_FALSE(guard.MayCheckDeadlines(now));
    CHECK(guard.MayCheckDeadlines(now + Duration(20)));
  }
  SUBCASE("is not mistaken for one that is slow") {
    CHECK(guard.MayCheckDeadlines(now + Duration(300)));
  }
}

}  // namespace firmoor
