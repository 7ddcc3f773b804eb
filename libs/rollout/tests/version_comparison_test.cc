#include "rollout/version_comparison.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

ArmCounts Arm(std::int64_t ended, std::int64_t bad, double pace_ms,
              std::int64_t timed) {
  ArmCounts arm{ended, bad, {}};
  arm.pace.at(PaceBucket(pace_ms, 25)) = timed;
  return arm;
}

/// Adds `seconds` seconds of one route; returns after how many a fault showed.
int SecondsUntilFault(VersionComparison* comparison, const ArmPair& second,
                      int seconds, int from = 0,
                      const std::string& route = "r") {
  for (int i = 0; i < seconds; ++i) {
    comparison->Add(route, second, TimePoint(Duration(1'000 * (from + i))));
    if (comparison->fault() != VersionFault::kNone) return i + 1;
  }
  return seconds + 1;
}

TEST_CASE("A version is compared with the others in the same seconds") {
  VersionComparison comparison(1e-4);
  GIVEN("a sound version that fails a request in a hundred, as the others do") {
    const ArmPair sound{Arm(300, 3, 40, 300), Arm(100, 1, 40, 100)};
    THEN("no fault is found in a minute") {
      CHECK(SecondsUntilFault(&comparison, sound, 60) > 60);
    }
    WHEN("it fails a third of its requests late") {
      CHECK(SecondsUntilFault(&comparison, sound, 10) > 10);
      const ArmPair late{Arm(300, 3, 40, 300), Arm(24, 8, 40, 24)};
      THEN("that shows before half of 50 bad answers") {
        CHECK(SecondsUntilFault(&comparison, late, 10, 10) <= 3);
        CHECK(comparison.fault() == VersionFault::kFails);
      }
    }
  }
  GIVEN("a service in trouble as a whole") {
    // Guards against a sound version that is reverted since all fail.
    const ArmPair trouble{Arm(300, 120, 40, 300), Arm(24, 10, 40, 24)};
    THEN("the version is not blamed") {
      CHECK(SecondsUntilFault(&comparison, trouble, 30) > 30);
    }
  }
  GIVEN("a version that fails on one of four routes") {
    THEN("the route shows it") {
      const ArmPair sound{Arm(300, 0, 40, 300), Arm(18, 0, 40, 18)};
      const ArmPair bad{Arm(100, 0, 40, 100), Arm(6, 3, 40, 6)};
      int seconds = 0;
      while (comparison.fault() == VersionFault::kNone && seconds < 10) {
        const TimePoint now(Duration(1'000 * ++seconds));
        comparison.Add("sound", sound, now);
        comparison.Add("one", bad, now);
      }
      CHECK(seconds <= 3);
      CHECK(comparison.route() == "one");
    }
  }
  GIVEN("a version that is eight times slower") {
    const ArmPair slow{Arm(300, 0, 40, 300), Arm(24, 0, 320, 24)};
    THEN("that shows within a second of 24 requests") {
      CHECK(SecondsUntilFault(&comparison, slow, 10) <= 1);
      CHECK(comparison.fault() == VersionFault::kSlow);
    }
  }
  GIVEN("a sound version whose engines take twice the time while cold") {
    // Guards against a sound version that is reverted since it is cold.
    const ArmPair cold{Arm(300, 0, 40, 300), Arm(24, 0, 80, 24)};
    THEN("it is not blamed") {
      CHECK(SecondsUntilFault(&comparison, cold, 30) > 30);
    }
  }
  GIVEN("requests to the version alone") {
    const ArmPair alone{ArmCounts(), Arm(24, 0, 320, 24)};
    THEN("its time is compared with nothing") {
      CHECK(SecondsUntilFault(&comparison, alone, 30) > 30);
    }
  }
}

}  // namespace
}  // namespace firmoor
