#include "serving/tried_upstreams.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "serving/attempt_policy.h"

namespace firmoor {
namespace {

using Ids = std::set<std::string>;

constexpr Duration kTimeLeft{5'000};

}  // namespace

TEST_CASE("an upstream that a request was tried at") {
  TriedUpstreams tried({"z"});
  tried.Add("a");
  CHECK(tried.excluded() == Ids{"a", "z"});
  CHECK(tried.ExcludedForPeers() == Ids{"a", "z"});

  SUBCASE("is not tried again after it had the request") {
    CHECK_FALSE(tried.WaitForUnreached(kTimeLeft));
    tried.ReadmitUnreached();
    CHECK(tried.excluded() == Ids{"a", "z"});
  }
  SUBCASE("may be tried again at once if it was overtaken") {
    tried.OnOvertaken("a", false);
    CHECK(tried.excluded() == Ids{"z"});
    CHECK_FALSE(tried.ReadmitOvertaken());
  }
  // Guards against LOST: an upstream that had paused is not tried again, though
  // no other one is left.
  SUBCASE("is tried again after all others if it was overtaken while silent") {
    tried.OnOvertaken("a", true);
    CHECK(tried.excluded() == Ids{"a", "z"});
    CHECK(tried.ReadmitOvertaken());
    CHECK(tried.excluded() == Ids{"z"});
    tried.Add("a");
    CHECK_FALSE(tried.ReadmitOvertaken());
    CHECK(tried.excluded() == Ids{"a", "z"});
  }
  SUBCASE("is left to other daemons if the link to it may be lost") {
    tried.OnLinkLost("a");
    CHECK(tried.excluded() == Ids{"a", "z"});
    CHECK(tried.ExcludedForPeers() == Ids{"z"});
    CHECK_FALSE(tried.WaitForUnreached(kTimeLeft));
  }
  // Guards against LOST: an upstream that accepts no connection for a moment is
  // not tried again.
  SUBCASE("is tried again after a wait if it was not reached") {
    tried.OnUnreached("a");
    CHECK(tried.unreached() == Ids{"a"});
    CHECK(tried.excluded() == Ids{"a", "z"});
    CHECK(tried.ExcludedForPeers() == Ids{"z"});
    const auto wait = tried.WaitForUnreached(kTimeLeft);
    REQUIRE(wait);
    CHECK(*wait > Duration(0));
    CHECK(tried.excluded() == Ids{"z"});
    // The links may be lost when the wait is over.
    CHECK(tried.WaitForUnreached(kTimeLeft));
    tried.Add("a");
    CHECK(tried.unreached().empty());
    CHECK(tried.excluded() == Ids{"a", "z"});
    CHECK_FALSE(tried.WaitForUnreached(kTimeLeft));
  }
  SUBCASE("is not tried again when too little time is left") {
    tried.OnUnreached("a");
    CHECK_FALSE(tried.WaitForUnreached(kMinTimeForAttempt));
    CHECK(tried.excluded() == Ids{"a", "z"});
  }
}

// Guards against a host that refuses connections being asked all the time by
// each of its streams.
TEST_CASE("the waits for an upstream that stays unreachable") {
  TriedUpstreams tried;
  Duration last{0};
  Duration sum{0};
  int waits = 0;
  for (;; ++waits) {
    tried.Add("a");
    tried.OnUnreached("a");
    const auto wait = tried.WaitForUnreached(kTimeLeft - sum);
    if (!wait) break;
    CHECK(*wait >= last);
    last = *wait;
    sum += *wait;
  }
  CHECK(waits <= 15);
  CHECK(sum >= kTimeLeft - Duration(500));
}

}  // namespace firmoor
