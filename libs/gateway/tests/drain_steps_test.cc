#include "details/drain_steps.h"

#include <doctest/doctest.h>

namespace firmoor::details {

TEST_CASE("a daemon that drains") {
  DrainProgress progress;
  progress.time = Duration(8'000);
  progress.elapsed = Duration(2'500);

  SUBCASE("serves until the load balancer has removed it") {
    progress.elapsed = Duration(2'499);
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  SUBCASE("serves while a request is in work") {
    progress.requests = 1;
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  SUBCASE("serves while a caller is connected") {
    progress.connections = 1;
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  // Guards against LOST: a daemon that was idle stopped while callers could
  // still connect.
  SUBCASE("closes its listener before it stops") {
    CHECK(NextDrainStep(progress) == DrainStep::kCloseListener);
    progress.is_listener_closed = true;
    CHECK(NextDrainStep(progress) == DrainStep::kStop);
    SUBCASE("and serves who connected in time") {
      progress.connections = 1;
      CHECK(NextDrainStep(progress) == DrainStep::kServe);
    }
  }
  // Guards against callers of another daemon that get a part of their answer.
  SUBCASE("does not stop while a response to another daemon is not sent") {
    progress.has_unsent_response = true;
    CHECK(NextDrainStep(progress) == DrainStep::kCloseListener);
    progress.is_listener_closed = true;
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  // Guards against a fleet without a coordinator until the lease expires.
  SUBCASE("does not stop while it can hand over that it coordinates") {
    progress.has_to_hand_over = true;
    CHECK(NextDrainStep(progress) == DrainStep::kCloseListener);
    progress.is_listener_closed = true;
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
  }
  SUBCASE("stops before it would be killed, whatever is left") {
    progress.has_to_hand_over = true;
    progress.requests = 1;
    progress.connections = 1;
    progress.has_unsent_response = true;
    progress.elapsed = progress.time - kStopMargin - Duration(1);
    CHECK(NextDrainStep(progress) == DrainStep::kServe);
    progress.elapsed = progress.time - kStopMargin;
    CHECK(NextDrainStep(progress) == DrainStep::kStop);
  }
}

}  // namespace firmoor::details
