#include "quarantine/crash_monitor.h"

#include <doctest/doctest.h>

#include <string>

#include "quarantine/quarantine_authority.h"

namespace firmoor {
namespace {

Suspect Chunk(const std::string& name) {
  return {SuspectKind::kPromptChunk, name};
}

/// A daemon in virtual time that crashes upstreams one after the other.
struct MonitoredDaemon {
  CrashMonitor monitor;
  TimePoint now{Duration(1'000'000)};
  int runs = 0;

  UpstreamRun CrashUnder(const std::vector<Suspect>& suspects,
                         ProbeResult probe = ProbeResult::kRefused) {
    UpstreamRun run{"u" + std::to_string(++runs), 1};
    const auto begun_at = now;
    now += Duration(100);
    monitor.OnBroken({run, begun_at, suspects, false}, now);
    now += Duration(20);
    monitor.OnProbed(run, probe, now);
    now += Duration(500);
    return run;
  }
  void ReportTo(QuarantineAuthority* authority) {
    monitor.OnReply(authority->OnReport(monitor.Report(now), now), now);
  }
  bool Rejects(const std::vector<Suspect>& suspects) {
    return monitor.Reject("r", suspects, now) != nullptr;
  }
};

}  // namespace

TEST_CASE("a daemon without a coordinator judges by what it sees") {
  MonitoredDaemon daemon;
  const std::vector<Suspect> both = {Chunk("bad"), Chunk("first")};

  SUBCASE("and blames what is in all crashes and in no completed request") {
    for (int i = 0; i < 4; ++i) {
      daemon.CrashUnder(both);
      daemon.monitor.OnCompleted({Chunk("first")}, daemon.now);
    }
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK(daemon.Rejects(both));
    CHECK_FALSE(daemon.Rejects({Chunk("first")}));
  }
  SUBCASE("and blames two that were never apart only together") {
    for (int i = 0; i < 4; ++i) daemon.CrashUnder(both);
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK(daemon.Rejects(both));
    CHECK_FALSE(daemon.Rejects({Chunk("first")}));
    CHECK_FALSE(daemon.Rejects({Chunk("bad")}));

    daemon.CrashUnder({Chunk("bad")});
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK(daemon.Rejects({Chunk("bad")}));
    CHECK_FALSE(daemon.Rejects({Chunk("first")}));
  }
  SUBCASE("and blames nothing when connections break or time out only") {
    for (int i = 0; i < 8; ++i) {
      daemon.CrashUnder(both, ProbeResult::kConnected);
      daemon.CrashUnder(both, ProbeResult::kUnknown);
    }
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK_FALSE(daemon.Rejects(both));
  }
  SUBCASE(
      "and takes a response that ended with its connection for complete "
      "when the upstream still runs") {
    for (int i = 0; i < 3; ++i) daemon.CrashUnder({Chunk("first")});
    const UpstreamRun run{"v", 1};
    daemon.monitor.OnBroken({run, daemon.now, {Chunk("first")}, true},
                            daemon.now);
    daemon.now += Duration(10);
    daemon.monitor.OnProbed(run, ProbeResult::kConnected, daemon.now);
    daemon.CrashUnder({Chunk("first")});
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK_FALSE(daemon.Rejects({Chunk("first")}));
  }
  SUBCASE("but not while a coordinator replies") {
    QuarantineAuthority authority(1);
    daemon.ReportTo(&authority);
    daemon.ReportTo(&authority);
    for (int i = 0; i < 3; ++i) daemon.CrashUnder(both);
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK_FALSE(daemon.Rejects(both));
  }
}

TEST_CASE("a verdict of the coordinator") {
  MonitoredDaemon daemon;
  QuarantineAuthority authority(1);
  const std::vector<Suspect> bad = {Chunk("bad")};
  for (int i = 0; i < 6; ++i) {
    daemon.CrashUnder(bad);
    daemon.ReportTo(&authority);
  }
  REQUIRE(daemon.Rejects(bad));

  SUBCASE("survives the coordinator") {
    QuarantineAuthority successor(2);
    daemon.ReportTo(&successor);
    CHECK(daemon.Rejects(bad));
    MonitoredDaemon other;
    other.now = daemon.now;
    other.ReportTo(&successor);
    CHECK(other.Rejects(bad));
  }
  SUBCASE("survives it at a daemon that hears of no coordinator") {
    daemon.now += Duration(60'000);
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK(daemon.Rejects(bad));
  }
  SUBCASE("is lifted by an operator, also for a daemon that hears of it late") {
    MonitoredDaemon other;
    other.now = daemon.now;
    other.ReportTo(&authority);
    REQUIRE(other.Rejects(bad));
    daemon.monitor.Lift(bad.front(), daemon.now);
    CHECK_FALSE(daemon.Rejects(bad));
    daemon.ReportTo(&authority);
    CHECK_FALSE(daemon.Rejects(bad));
    other.ReportTo(&authority);
    CHECK_FALSE(other.Rejects(bad));
    // Nor does the daemon pass it again by itself.
    daemon.now += Duration(10'000);
    daemon.monitor.JudgeAlone(daemon.now);
    CHECK_FALSE(daemon.Rejects(bad));
  }
  SUBCASE("is lifted by a request that completes after the first crash") {
    daemon.monitor.OnCompleted(bad, daemon.now);
    daemon.ReportTo(&authority);
    CHECK_FALSE(daemon.Rejects(bad));
  }
  SUBCASE("is tried by one request of one daemon after ten minutes") {
    MonitoredDaemon other;
    daemon.now += Duration(601'000);
    other.now = daemon.now;
    other.ReportTo(&authority);
    REQUIRE(daemon.Rejects(bad));
    daemon.ReportTo(&authority);
    REQUIRE(other.Rejects(bad));
    other.ReportTo(&authority);
    CHECK(other.Rejects(bad));
    CHECK(daemon.monitor.Reject("r1", bad, daemon.now) == nullptr);
    CHECK(daemon.monitor.Reject("r1", bad, daemon.now) == nullptr);
    CHECK(daemon.monitor.Reject("r2", bad, daemon.now) != nullptr);
  }
  SUBCASE("is tried no more than twice, whatever the daemons reject") {
    int trials = 0;
    for (int hour = 0; hour < 48; ++hour) {
      daemon.now += Duration(3'600'000);
      CHECK(daemon.monitor.Reject("x", bad, daemon.now) != nullptr);
      QuarantineReport report;
      report.term = 1;
      report.rejected = {bad.front()};
      trials += static_cast<int>(
          authority.OnReport(report, daemon.now).trials.size());
    }
    CHECK(trials == 2);
  }
  SUBCASE("is not displaced by a flood of other suspects") {
    for (int i = 0; i < 2'000; ++i) {
      QuarantineReport report;
      report.term = 1;
      CrashReport crash{{"f" + std::to_string(i), 1}, Duration(0), {}};
      for (int j = 0; j < 40; ++j) {
        crash.suspects.emplace(Chunk(std::to_string(i * 40 + j)), Duration(9));
      }
      report.crashes = {crash};
      daemon.now += Duration(20);
      authority.OnReport(report, daemon.now);
    }
    daemon.ReportTo(&authority);
    CHECK(daemon.Rejects(bad));
  }
}

TEST_CASE("a crash that others refute blames nobody") {
  MonitoredDaemon daemon;
  MonitoredDaemon other;
  QuarantineAuthority authority(1);
  const std::vector<Suspect> chunk = {Chunk("sound")};
  for (int i = 0; i < 6; ++i) {
    // The path of this daemon breaks; the upstream serves the other one.
    const auto run = daemon.CrashUnder(chunk);
    other.now = daemon.now;
    other.monitor.OnResponse(run, other.now);
    daemon.ReportTo(&authority);
    other.ReportTo(&authority);
    other.ReportTo(&authority);
  }
  daemon.ReportTo(&authority);
  CHECK_FALSE(daemon.Rejects(chunk));
}

}  // namespace firmoor
