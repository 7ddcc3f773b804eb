#include "drain_step.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a draining daemon keeps idle connections for a while") {
  DrainProgress progress;
  progress.time_left = Duration(5'000);
  progress.connections = 1;

  SUBCASE("but ends when no connection is left") {
    progress.connections = 0;
    CHECK(NextDrainStep(progress) == DrainStep::kFinish);
    progress.has_work = true;
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  SUBCASE("then closes them") {
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
    progress.since_listener_closed = Duration(999);
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
    progress.since_listener_closed = Duration(1'000);
    CHECK(NextDrainStep(progress) == DrainStep::kCloseIdle);
  }
  SUBCASE("and as long as it has other work") {
    progress.has_work = true;
    progress.since_listener_closed = Duration(4'000);
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  SUBCASE("and ends with them and its work when its time is over") {
    progress.time_left = Duration(0);
    CHECK(NextDrainStep(progress) == DrainStep::kFinish);
    progress.has_work = true;
    CHECK(NextDrainStep(progress) == DrainStep::kFinish);
  }
}

}  // namespace firmoor
