#include <doctest/doctest.h>

#include <string>

#include "limits/quota_allowance.h"
#include "limits/quota_pool.h"

namespace firmoor {
namespace {

const TimePoint kStart{Duration(50'000)};
constexpr QuotaLimit kLimit{100, 200,
                            Duration(8'000)};  // 1,000 tokens per window.
constexpr Duration kSecond{1'000};
const DaemonInstance kDaemon{"a", "1"};
const DaemonInstance kOther{"b", "1"};

/// Tokens that the pool can still grant to another daemon.
double FreeTokens(QuotaPool pool, TimePoint now) {
  const auto grant = pool.Grant(kOther, {0, 1, 0, false, 0}, kLimit, 2, now);
  return grant.tokens + grant.unassigned;
}

}  // namespace

// Guards against a quota that is exceeded by daemons that are cut off from the
// coordinator: after a window it granted to others what these went on with.
TEST_CASE("the coordinator holds the tokens of a silent daemon") {
  QuotaPool pool;
  QuotaUsage use{300, 300, 0, false, 0};
  const auto grant = pool.Grant(kDaemon, use, kLimit, 2, kStart);
  const double free = 1'000 - 300 - grant.tokens;
  CHECK(grant.continuation == kQuotaContinuation);

  SUBCASE("while it may go on, and for a window more") {
    const auto end = kStart + kQuotaContinuation + kLimit.window;
    CHECK(FreeTokens(pool, end - Duration(1)) == free);
    CHECK(FreeTokens(pool, end) == 1'000);
    CHECK(pool.Outstanding(kLimit, end - Duration(1)) >= 300 + grant.tokens);
  }
  SUBCASE("for a window if it is of an earlier build, which does not go on") {
    use.held.reset();
    const auto earlier = pool.Grant(kDaemon, use, kLimit, 2, kStart);
    CHECK(earlier.continuation == Duration(0));
    CHECK(FreeTokens(pool, kStart + kLimit.window) == 1'000);
  }
  SUBCASE("for a window from the start of its next instance") {
    const auto restarted = kStart + 6 * kSecond;
    const DaemonInstance next{"a", "2"};
    for (const auto at : {restarted, restarted + kSecond}) {
      pool.Grant(next, {0, 0, 0, true, 0}, kLimit, 2, at);
    }
    const auto end = restarted + kLimit.window;
    const auto is_held = [&](TimePoint at) {
      return FreeTokens(pool, at) < 1'000 - 300 - grant.tokens + 1;
    };
    CHECK(is_held(end - Duration(1)));
    CHECK_FALSE(is_held(end));
  }
}

// Guards against a new coordinator that grants what a daemon goes on with until
// the first reply.
TEST_CASE("a new coordinator holds what the previous one granted") {
  QuotaPool pool;
  pool.SetPriorState({600, 100, 2}, kStart + kSecond);
  const QuotaUsage use{200, 200, 0, false, 700};
  SUBCASE("to a daemon that reports") {
    pool.Grant(kDaemon, use, kLimit, 2, kStart);
    CHECK(FreeTokens(pool, kStart + 2 * kSecond) == 300);
  }
  SUBCASE("to one that does not, for as long as this may go on") {
    // One of two daemons may have used more than its half.
    const auto end = kStart + kSecond + kQuotaContinuation;
    const auto free = [](QuotaPool copy, TimePoint now) {
      const auto grant =
          copy.Grant(kOther, {0, 1, 0, false, 0}, kLimit, 1, now);
      return grant.tokens + grant.unassigned;
    };
    CHECK(free(pool, end - Duration(1)) == 1'000 - 700 * 0.75);
    CHECK(free(pool, end) == 1'000);
  }
}

TEST_CASE("a daemon without a coordinator") {
  QuotaAllowance allowance(kLimit, {0.5, 0}, kStart - kLimit.window);
  allowance.Report(kStart, 1);
  allowance.OnGrant({300, 0, kQuotaContinuation}, kStart, 1);
  CHECK_FALSE(allowance.TakeOrWait(300, kStart));
  allowance.Report(kStart + kSecond, 2);
  allowance.OnGrant({100, 0, kQuotaContinuation}, kStart + kSecond, 2);
  CHECK_FALSE(allowance.TakeOrWait(100, kStart + 2 * kSecond));

  SUBCASE("admits again what has left the window") {
    const auto left_at = kStart + kLimit.window + Duration(1);
    CHECK(allowance.TakeOrWait(1, left_at - Duration(2)));
    CHECK(allowance.TakeOrWait(301, left_at));
    CHECK_FALSE(allowance.TakeOrWait(300, left_at));
    CHECK(allowance.TakeOrWait(1, left_at));
    CHECK_FALSE(allowance.TakeOrWait(100, left_at + 2 * kSecond));
    SUBCASE("until the time is over") {
      const auto end = kStart + kSecond + kQuotaContinuation;
      CHECK(allowance.TakeOrWait(101, end));
    }
  }
  SUBCASE("does not admit at once what was unassigned") {
    allowance.Report(kStart + 2 * kSecond, 3);
    allowance.OnGrant({0, 800, kQuotaContinuation}, kStart + 2 * kSecond, 3);
    CHECK(allowance.TakeOrWait(1, kStart + 2 * kSecond));
  }
  SUBCASE("does not if its coordinator is of an earlier build") {
    allowance.Report(kStart + 2 * kSecond, 3);
    allowance.OnGrant({0, 0}, kStart + 2 * kSecond, 3);
    // The equal share of the burst is left.
    CHECK(allowance.TakeOrWait(101, kStart + kLimit.window + kSecond));
  }
  SUBCASE("reports what it goes on with") {
    CHECK(allowance.Report(kStart + 2 * kSecond, 3).held == 400);
  }
  SUBCASE("counts the time from the report, not from the reply") {
    allowance.Report(kStart + 2 * kSecond, 3);
    allowance.OnGrant({100, 0, kQuotaContinuation}, kStart + 3 * kSecond, 3);
    const auto end = kStart + 2 * kSecond + kQuotaContinuation;
    CHECK(allowance.Report(end - Duration(1), 4).held == 500);
    CHECK(allowance.Report(end, 5).held == 0);
  }
  SUBCASE("gives up what it has left when the time is over") {
    allowance.Report(kStart + 3 * kSecond, 3);
    allowance.OnGrant({500, 0, kQuotaContinuation}, kStart + 3 * kSecond, 3);
    const auto end = kStart + 3 * kSecond + kQuotaContinuation;
    // The equal share of the burst is left.
    CHECK(allowance.TakeOrWait(101, end));
    CHECK_FALSE(allowance.TakeOrWait(100, end));
  }
  SUBCASE("keeps its allowance if its coordinator is of an earlier build") {
    allowance.Report(kStart + 3 * kSecond, 3);
    allowance.OnGrant({500, 0}, kStart + 3 * kSecond, 3);
    const auto end = kStart + 3 * kSecond + kQuotaContinuation;
    CHECK_FALSE(allowance.TakeOrWait(500, end));
  }
}

// Guards against an idle workspace whose last requests count for longer than
// the window: a daemon omitted the quota before it had told that they are over.
TEST_CASE("a quota is idle once a report has told so") {
  QuotaAllowance allowance(kLimit, {0.5, 0}, kStart - kLimit.window);
  allowance.Report(kStart, 1);
  allowance.OnGrant({100, 0}, kStart, 1);
  CHECK_FALSE(allowance.TakeOrWait(100, kStart));
  allowance.Report(kStart + kSecond, 2);
  allowance.OnGrant({0, 0}, kStart + kSecond, 2);
  const auto end = kStart + kLimit.window + Duration(1);
  CHECK_FALSE(allowance.IsIdle(end));
  CHECK(allowance.Report(end, 3).admitted == 0);
  allowance.OnGrant({0, 0}, end, 3);
  CHECK(allowance.IsIdle(end));
}

// Guards against a quota that is granted again while a daemon that is cut off
// goes on with its part: the state handed over was older than a large grant,
// which was taken for that part.
TEST_CASE("a state that is older than the last grants") {
  QuotaPool pool;
  // One daemon had 100 and got 400 more since; the other one has 400 and may
  // use 100 more.
  pool.SetPriorState({500, 150, 3}, kStart + 5 * kSecond);
  const QuotaUsage use{500, 900, 400, false, 500};
  CHECK(pool.Grant(kDaemon, use, kLimit, 1, kStart).tokens <= 0);
}

// Guards against a second hand-over that forgets what no daemon had reported
// after the first one.
TEST_CASE("usage of an ended daemon is handed over twice") {
  QuotaPool pool;
  pool.SetPriorState({600, 0, 2, true}, kStart + 8 * kSecond);
  pool.Grant(kDaemon, {300, 300, 0, false, 300}, kLimit, 2, kStart);
  const QuotaUsage later{500, 500, 0, false, 500};
  pool.Grant(kDaemon, later, kLimit, 2, kStart + 3 * kSecond);
  CHECK(pool.Used(kLimit, kStart + 3 * kSecond) == 800);
}

// Guards against callers within their quota that get 429 after a change of the
// coordinator: daemons with few requests that reported first got what the one
// with most of them needed.
TEST_CASE("a new coordinator hears of the busiest daemon") {
  constexpr int kQuietDaemons = 3;
  const QuotaUsage busy{540, 540, 0, false, 640};
  const double per_second = 540.0 / 8;
  QuotaPool pool;
  // Of 1,000 tokens, 600 are admitted: 20 at each of three daemons, and the
  // rest at the busy one.
  pool.SetPriorState({600, 200, kQuietDaemons + 1, true}, kStart + 5 * kSecond);
  for (int i = 0; i < kQuietDaemons; ++i) {
    pool.Grant({std::to_string(i), "1"}, {20, 20, 0, false, 30}, kLimit,
               static_cast<std::size_t>(i) + 1, kStart);
  }
  const auto report = [&](const QuotaUsage& use, TimePoint now) {
    return pool.Grant(kDaemon, use, kLimit, kQuietDaemons + 1, now);
  };

  SUBCASE("last: it gets what it needs until its next report") {
    CHECK(report(busy, kStart).tokens >= per_second);
  }
  SUBCASE("a second later, when it has admitted more") {
    const QuotaUsage later{590, 590, 0, false, 640};
    CHECK(report(later, kStart + kSecond).tokens >= per_second);
  }
  SUBCASE("or first") {
    QuotaPool other;
    other.SetPriorState({600, 200, kQuietDaemons + 1, true},
                        kStart + 5 * kSecond);
    const auto grant = other.Grant(kDaemon, busy, kLimit, 1, kStart);
    CHECK(grant.tokens >= per_second);
  }
  SUBCASE("and keeps what no report contains until it leaves the window") {
    const QuotaUsage quieter{240, 240, 0, false, 340};
    const auto grant = report(quieter, kStart);
    CHECK(grant.tokens + grant.unassigned <= 1'000 - 600);
    const auto end = kStart + 5 * kSecond + kQuotaContinuation;
    CHECK(FreeTokens(pool, end) > 1'000 - 600);
  }
}

}  // namespace firmoor
