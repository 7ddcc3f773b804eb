#include "placement/successor_choice.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

SuccessorCandidate Candidate(const char* daemon, int uptime_ms) {
  return {daemon, false, Duration(500), Duration(uptime_ms), 1};
}

}  // namespace

// Guards against a lease that is handed to a daemon which is about to end, or
// which does not know what to do with it (issue 46).
TEST_CASE("the daemon that gets the lease") {
  std::vector<SuccessorCandidate> fleet{Candidate("old", 90'000),
                                        Candidate("restarted", 20'000),
                                        Candidate("other", 80'000)};

  SUBCASE("is the one that started last, whose restart is over") {
    CHECK(ChooseSuccessor(fleet) == "restarted");
  }
  SUBCASE("does not drain") {
    fleet[1].is_draining = true;
    CHECK(ChooseSuccessor(fleet) == "other");
  }
  SUBCASE("has reported just now") {
    fleet[1].silent_for = Duration(1'501);
    CHECK(ChooseSuccessor(fleet) == "other");
  }
  SUBCASE("is of a build that takes over") {
    fleet[1].uptime.reset();
    CHECK(ChooseSuccessor(fleet) == "other");
  }
  SUBCASE("has settled after its start") {
    fleet[1].uptime = Duration(2'999);
    CHECK(ChooseSuccessor(fleet) == "other");
  }
  SUBCASE("rather has a VM that carries the work") {
    fleet[1].cores = 0.125;
    CHECK(ChooseSuccessor(fleet) == "other");
    SUBCASE("but a slow one is better than none") {
      CHECK(ChooseSuccessor({fleet[1]}) == "restarted");
    }
  }
  SUBCASE("is the same one at every look") {
    fleet[2].uptime = fleet[1].uptime;
    CHECK(ChooseSuccessor(fleet) == "other");
  }
  SUBCASE("may not exist") {
    for (auto& candidate : fleet) candidate.is_draining = true;
    CHECK(!ChooseSuccessor(fleet));
    CHECK(!ChooseSuccessor({}));
  }
}

}  // namespace firmoor
