#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "limits/quota_allowance.h"
#include "limits/quota_pool.h"

namespace firmoor {
namespace {

const TimePoint kStart{Duration(50'000)};
constexpr QuotaLimit kLimit{100, 200,
                            Duration(8'000)};  // 1,000 tokens per window.

/// Daemons that report to one pool every second.
struct Fleet {
  QuotaPool pool;
  std::vector<QuotaAllowance> daemons;
  std::vector<DaemonInstance> instances;
  TimePoint now = kStart;
  std::deque<std::pair<TimePoint, double>> admitted;
  double max_in_window = 0;         ///< Most tokens admitted.
  std::set<std::size_t> reporting;  ///< Daemons known to the pool.

  explicit Fleet(std::size_t count, double max_overdraft = 0) {
    // The daemons have run idle for a full window.
    Restart(count, max_overdraft, kStart - kLimit.window);
    ReportAll();
  }
  void Restart(std::size_t count, double max_overdraft, TimePoint started_at) {
    const QuotaAllowance::Fallback fallback{1.0 / static_cast<double>(count),
                                            max_overdraft};
    daemons.assign(count, QuotaAllowance(kLimit, fallback, started_at));
    instances.clear();
    for (std::size_t i = 0; i < count; ++i) {
      instances.push_back({std::to_string(i), ""});
    }
    ReplacePool();
  }
  /// Replaces the coordinator by one without state.
  void ReplacePool() {
    pool = {};
    reporting.clear();
  }
  void Report(std::size_t index) {
    const auto use = daemons[index].Report(now);
    reporting.insert(index);
    daemons[index].OnGrant(
        pool.Grant(instances[index], use, kLimit, reporting.size(), now), now);
  }
  /// Restarts a daemon without its state.
  void RestartDaemon(std::size_t index) {
    const QuotaAllowance::Fallback fallback{
        1.0 / static_cast<double>(daemons.size()), 0};
    daemons[index] = QuotaAllowance(kLimit, fallback, now);
    instances[index].instance_id += "'";
    Report(index);
  }
  void ReportAll() {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      reporting.insert(i);
      if (daemons[i].IsIdle(now)) {
        daemons[i].OnOmitted(now);
      } else {
        Report(i);
      }
    }
  }
  /// Requests tokens at a daemon, which asks the coordinator for more if
  /// needed.
  bool Request(std::size_t index, double tokens) {
    if (RequestLocally(index, tokens)) return true;
    Report(index);
    return RequestLocally(index, tokens);
  }
  /// Requests 20 tokens from each daemon in turn.
  void ApplyLoad(int steps, Duration pause, bool with_coordinator) {
    const auto reports_each = Duration(1'000) / pause;
    for (int step = 0; step < steps; ++step) {
      const auto index = static_cast<std::size_t>(step) % daemons.size();
      if (with_coordinator) {
        Request(index, 20);
      } else {
        RequestLocally(index, 20);
      }
      now += pause;
      if (with_coordinator && step % reports_each == 0) ReportAll();
    }
  }
  /// Requests tokens without contacting the coordinator.
  bool RequestLocally(std::size_t index, double tokens) {
    if (daemons[index].TakeOrWait(tokens, now)) return false;
    admitted.emplace_back(now, tokens);
    while (admitted.front().first < now - kLimit.window) admitted.pop_front();
    double sum = 0;
    for (const auto& [at, amount] : admitted) sum += amount;
    max_in_window = std::max(max_in_window, sum);
    return true;
  }
};

}  // namespace

TEST_CASE("a daemon's allowance of a quota") {
  QuotaAllowance allowance(kLimit, {0.5, 0}, kStart - kLimit.window);
  allowance.Report(kStart);
  allowance.OnGrant({100, 800}, kStart);

  SUBCASE("admits requests until it is used up, then returns a wait") {
    CHECK_FALSE(allowance.TakeOrWait(60, kStart));
    // The window has unassigned tokens that the coordinator can grant.
    CHECK(allowance.TakeOrWait(60, kStart) == Duration(200));
    CHECK(allowance.NeedsEarlyReport());
    CHECK_FALSE(allowance.TakeOrWait(40, kStart));
  }
  SUBCASE(
      "returns the wait for the window to advance if nothing is unassigned") {
    allowance.OnGrant({100, 0}, kStart);
    CHECK(allowance.TakeOrWait(160, kStart) == Duration(600));
  }
  SUBCASE("returns the wait for the refill without the coordinator") {
    CHECK_FALSE(allowance.TakeOrWait(100, kStart));
    CHECK(allowance.TakeOrWait(60, kStart + Duration(2'500)) ==
          Duration(1'200));
  }
  SUBCASE("counts tokens admitted while a report was in flight") {
    CHECK(allowance.Report(kStart).admitted == 0);
    CHECK_FALSE(allowance.TakeOrWait(80, kStart));
    allowance.OnGrant({100, 800}, kStart);
    CHECK(allowance.TakeOrWait(30, kStart));
  }
  SUBCASE("may be overdrawn by a prompt that exceeds it") {
    allowance.SetLimit(kLimit, {0.5, 50});
    CHECK_FALSE(allowance.TakeOrWait(140, kStart));
    CHECK(allowance.TakeOrWait(20, kStart));
  }
  SUBCASE("refills at an equal share without the coordinator") {
    CHECK_FALSE(allowance.TakeOrWait(100, kStart));
    CHECK(allowance.TakeOrWait(50, kStart + Duration(2'500)));
    CHECK_FALSE(allowance.TakeOrWait(50, kStart + Duration(3'500)));
  }
  SUBCASE("does not refill while the window is fully granted") {
    allowance.OnGrant({100, 0}, kStart);
    CHECK_FALSE(allowance.TakeOrWait(100, kStart));
    CHECK(allowance.TakeOrWait(50, kStart + Duration(7'900)));
    CHECK_FALSE(allowance.TakeOrWait(50, kStart + Duration(9'000)));
  }
  SUBCASE("reports admitted and requested tokens of the window") {
    CHECK_FALSE(allowance.TakeOrWait(60, kStart));
    CHECK(allowance.TakeOrWait(60, kStart));
    CHECK(allowance.Report(kStart) == QuotaUsage{60, 120, 60, false, 0});
    CHECK(allowance.Report(kStart + Duration(8'001)) ==
          QuotaUsage{0, 0, 0, false, 0});
  }
}

// Guards against a quota that is exceeded by a grant a daemon: the reply to a
// report that a later one overlaps did not count what was admitted in between.
TEST_CASE("reports to the coordinator that overlap") {
  QuotaAllowance allowance(kLimit, {0.5, 0}, kStart - kLimit.window);
  allowance.Report(kStart, 1);
  allowance.OnGrant({100, 0}, kStart, 1);
  const auto first = allowance.Report(kStart, 2);
  CHECK_FALSE(allowance.TakeOrWait(80, kStart));
  const auto second = allowance.Report(kStart + Duration(100), 3);
  CHECK(first.admitted == 0);
  CHECK(second.admitted == 80);
  const auto at = kStart + Duration(110);

  SUBCASE("the reply to the first counts what was admitted since") {
    allowance.OnGrant({100, 0}, at, 2);
    CHECK(allowance.level() == 20);
    CHECK(allowance.TakeOrWait(30, at));
    SUBCASE("and the reply to the second what was admitted since that") {
      CHECK_FALSE(allowance.TakeOrWait(20, at));
      allowance.OnGrant({50, 0}, at, 3);
      CHECK(allowance.level() == 30);
    }
  }
  SUBCASE("a reply to the first that comes last changes nothing") {
    allowance.OnGrant({50, 0}, at, 3);
    allowance.OnGrant({100, 0}, at, 2);
    CHECK(allowance.level() == 50);
  }
  SUBCASE("a reply is for the last one if its report is not known") {
    allowance.OnGrant({50, 0}, at);
    CHECK(allowance.level() == 50);
  }
}

TEST_CASE("a quota far above the demand (lumps of large prompts)") {
  Fleet fleet(8);
  int refused = 0;
  // Eight daemons, and one prompt of 55 tokens per second at a changing daemon:
  // half of the quota, although one prompt is half of a daemon's equal burst.
  for (int second = 0; second < 60; ++second) {
    const auto index = static_cast<std::size_t>(second * 5 % 8);
    if (!fleet.Request(index, 55)) ++refused;
    fleet.now += Duration(1'000);
    fleet.ReportAll();
  }
  CHECK(refused == 0);
}

TEST_CASE("large prompts among small ones at many daemons (large fleet)") {
  Fleet fleet(65);
  int refused = 0;
  // 65 daemons with one token every other second, and a prompt of 50 tokens per
  // second at a changing daemon: 82 of the 100 tokens per second.
  for (int second = 0; second < 60; ++second) {
    for (std::size_t i = 0; i < fleet.daemons.size(); ++i) {
      if ((i + static_cast<std::size_t>(second)) % 2 == 0) fleet.Request(i, 1);
    }
    if (!fleet.Request(static_cast<std::size_t>(second) * 7 % 65, 50)) {
      ++refused;
    }
    fleet.now += Duration(1'000);
    fleet.ReportAll();
  }
  CHECK(refused == 0);
  CHECK(fleet.max_in_window <= kLimit.PerWindow());
}

TEST_CASE("rare prompts at each of many daemons (very large fleet)") {
  // Each daemon sees the workspace about every 20 s with prompts of 4% of the
  // quota's window. All daemons together request half of the quota.
  constexpr std::size_t kDaemons = 300;
  Fleet fleet(kDaemons);
  int refused = 0;
  int requested = 0;
  for (int step = 0; step < 60; ++step) {
    for (int i = 0; i < 2; ++i) {
      const auto index =
          static_cast<std::size_t>((step * 2 + i) * 7) % kDaemons;
      ++requested;
      if (!fleet.Request(index, 40)) ++refused;
      fleet.now += Duration(800);
    }
    fleet.ReportAll();
  }
  CHECK(refused == 0);
  CHECK(requested == 120);
  CHECK(fleet.max_in_window <= kLimit.PerWindow());
  SUBCASE("and most daemons omit the quota from their reports") {
    const auto idle =
        std::count_if(fleet.daemons.begin(), fleet.daemons.end(),
                      [&](auto& daemon) { return daemon.IsIdle(fleet.now); });
    CHECK(idle > 280);
  }
}

TEST_CASE("a workspace that requests many times its quota (hot tenant)") {
  Fleet fleet(8);
  double admitted = 0;
  for (int step = 0; step < 400; ++step) {
    const auto index = static_cast<std::size_t>(step % 8);
    if (fleet.Request(index, 20)) admitted += 20;
    fleet.now += Duration(50);
    if (step % 20 == 0) fleet.ReportAll();
  }
  SUBCASE("never exceeds its quota in any window") {
    CHECK(fleet.max_in_window <= kLimit.PerWindow());
  }
  SUBCASE("gets most of its quota") { CHECK(admitted > 0.8 * 2'500); }
}

TEST_CASE("a hot workspace while the coordinator is lost") {
  Fleet fleet(8);
  // Uses nearly all of the window in three seconds.
  fleet.ApplyLoad(60, Duration(50), true);
  // Eight seconds without the coordinator.
  fleet.ApplyLoad(160, Duration(50), false);
  CHECK(fleet.max_in_window <= 1.1 * kLimit.PerWindow());
}

TEST_CASE("the coordinator is lost while callers move to other daemons") {
  Fleet fleet(8);
  const auto ask = [&](std::size_t first, std::size_t count, int steps) {
    for (int step = 0; step < steps; ++step) {
      const auto index = first + static_cast<std::size_t>(step) % count;
      if (first == 0) {
        fleet.Request(index, 20);
      } else {
        fleet.RequestLocally(index, 20);
      }
      fleet.now += Duration(50);
      if (first == 0 && step % 20 == 0) fleet.ReportAll();
    }
  };
  ask(0, 2, 60);   // Two daemons use nearly all of the window.
  ask(2, 6, 160);  // Then the others get requests, without the coordinator.
  CHECK(fleet.max_in_window <= 1.1 * kLimit.PerWindow());
}

TEST_CASE("the coordinator is lost as load with large prompts rises") {
  const double max_overdraft = 20;
  Fleet fleet(8, max_overdraft);
  for (int step = 0; step < 32; ++step) {
    fleet.Request(static_cast<std::size_t>(step % 8), 15);
    fleet.now += Duration(60);
    if (step % 8 == 0) fleet.ReportAll();
  }
  // Half of the window is left, and each daemon knows that most of it is
  // unassigned.
  for (int step = 0; step < 300; ++step) {
    const auto index = static_cast<std::size_t>(step % 8);
    fleet.RequestLocally(index, 15);
    // Daemons keep reporting but get no replies.
    if (step % 48 < 8) fleet.daemons[index].Report(fleet.now);
    fleet.now += Duration(20);
  }
  CHECK(fleet.max_in_window <= kLimit.PerWindow() + 8 * max_overdraft);
}

TEST_CASE("all daemons restart at once under a hot workspace (herd kill)") {
  Fleet fleet(8);
  fleet.ApplyLoad(400, Duration(25), true);
  const double used = fleet.pool.Used(kLimit, fleet.now);
  const auto used_at = fleet.now;
  fleet.now += Duration(500);
  fleet.Restart(8, 0, fleet.now);
  for (auto& daemon : fleet.daemons) daemon.SetPriorUsage(used, fleet.now);
  fleet.pool.SetPriorState({used, 0, 8}, used_at + kLimit.window);
  // Four seconds without a coordinator.
  fleet.ApplyLoad(160, Duration(25), false);
  fleet.ApplyLoad(400, Duration(25), true);
  SUBCASE("stays near its quota, whatever was admitted before") {
    CHECK(fleet.max_in_window <= 1.1 * kLimit.PerWindow());
  }
}

TEST_CASE("daemons are killed right after they used their allowance (kill)") {
  Fleet fleet(8);
  fleet.ApplyLoad(16, Duration(50), true);
  fleet.ReportAll();
  for (std::size_t index = 0; index < 4; ++index) {
    while (fleet.RequestLocally(index, 10)) fleet.now += Duration(1);
    fleet.RestartDaemon(index);
  }
  fleet.ApplyLoad(400, Duration(25), true);
  CHECK(fleet.max_in_window <= kLimit.PerWindow());
}

TEST_CASE(
    "a coordinator takes over while daemons are partitioned (hot tenant)") {
  Fleet fleet(8);
  fleet.ApplyLoad(16, Duration(50), true);
  fleet.ReportAll();
  const PriorQuotaState before{fleet.pool.Used(kLimit, fleet.now),
                               fleet.pool.Outstanding(kLimit, fleet.now), 8};
  const auto recorded_at = fleet.now;
  // Three daemons use their allowance without reporting it.
  for (std::size_t index = 0; index < 3; ++index) {
    while (fleet.RequestLocally(index, 10)) fleet.now += Duration(1);
  }
  fleet.ReplacePool();
  fleet.pool.SetPriorState(before, recorded_at + kLimit.window);
  for (int step = 0; step < 200; ++step) {
    const auto index = static_cast<std::size_t>(3 + step % 5);
    fleet.Request(index, 20);
    fleet.now += Duration(25);
  }
  CHECK(fleet.max_in_window <= kLimit.PerWindow());
  SUBCASE("and most of the quota is still admitted") {
    CHECK(fleet.max_in_window >= 0.6 * kLimit.PerWindow());
  }
}

TEST_CASE("daemons restart in turn under an even load (rolling restart)") {
  Fleet fleet(8);
  int refused = 0;
  // Half of the quota in prompts of 25 tokens; one daemon restarts per second.
  for (int step = 0; step < 320; ++step) {
    if (!fleet.Request(static_cast<std::size_t>(step * 3 % 8), 25)) ++refused;
    fleet.now += Duration(500);
    fleet.ReportAll();
    if (step % 2 != 0) continue;
    const auto index = static_cast<std::size_t>(step / 2 % 8);
    fleet.RestartDaemon(index);
  }
  CHECK(refused == 0);
}

TEST_CASE("a hot workspace whose large prompts may overdraw the quota") {
  const double max_overdraft = 20;
  Fleet fleet(8, max_overdraft);
  for (int step = 0; step < 400; ++step) {
    fleet.Request(static_cast<std::size_t>(step % 8), 20);
    fleet.now += Duration(50);
    if (step % 4 == 0) fleet.ReportAll();
  }
  CHECK(fleet.max_in_window <= kLimit.PerWindow() + 8 * max_overdraft);
}

TEST_CASE("all daemons together stay within a fixed margin of the quota") {
  rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& requests) {
        Fleet fleet(4);
        for (const auto& [tokens, wait] : requests) {
          // The interval between reports is shorter than the lifetime of a
          // grant.
          fleet.now += Duration(wait * 4);
          fleet.Report(tokens % 4);
          fleet.Request(tokens % 4, tokens);
          if (wait % 2 == 0) fleet.ReportAll();
        }
        RC_ASSERT(fleet.max_in_window <= kLimit.PerWindow() + 400);
      });
}

}  // namespace firmoor
