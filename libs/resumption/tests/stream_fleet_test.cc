#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "stream_fleet_model.h"

namespace firmoor {
namespace {

constexpr std::size_t kSizes[] = {8, 74, 295};
// The share of resumed streams that are to go on, against that of new ones.
constexpr double kAim = 0.95;
// What callers are promised when more daemons are lost than hold a record.
constexpr double kPromised = 0.5;

StreamFleetModel::Options SizedOptions(std::size_t daemons,
                                       std::uint64_t seed) {
  StreamFleetModel::Options options;
  options.daemons = daemons;
  options.upstreams = daemons == 8 ? 12 : daemons / 2;
  options.seed = seed;
  return options;
}

/// Time between two upstreams of a release that takes `total` for a half.
Duration GapFor(std::size_t daemons, Duration total) {
  const auto upstreams = SizedOptions(daemons, 0).upstreams;
  return total / static_cast<std::int64_t>(upstreams / 2);
}

struct Scenario {
  std::string name;
  double min_share = kAim;
  std::function<void(StreamFleetModel*, std::size_t daemons)> play;
  std::function<void(StreamFleetModel::Options*)> adjust = nullptr;
};

void ReleaseHalf(StreamFleetModel* fleet, std::size_t daemons) {
  fleet->Release("two", 0.5, GapFor(daemons, Duration(5'000)));
}

/// Upstreams crash, and right afterwards a part of the daemons is lost.
void Crash(StreamFleetModel* fleet, double killed_daemons) {
  fleet->CrashUpstreams(0.2);
  fleet->Run(Duration(50));
  fleet->KillDaemons(killed_daemons);
}

Scenario CrashAfterRelease(const std::string& name, double killed_daemons,
                           Duration after, double min_share) {
  return {name, min_share, [=](StreamFleetModel* fleet, std::size_t daemons) {
            ReleaseHalf(fleet, daemons);
            fleet->Run(after);
            Crash(fleet, killed_daemons);
          }};
}

std::vector<Scenario> LossScenarios() {
  return {
      CrashAfterRelease("a third lost", 0.34, Duration(10'000), kAim),
      CrashAfterRelease("two thirds lost", 0.67, Duration(10'000), kPromised),
      CrashAfterRelease("a third lost after 0.2 s", 0.34, Duration(200), kAim),
      CrashAfterRelease("a third lost after 1 s", 0.34, Duration(1'000), kAim),
      CrashAfterRelease("a third lost after 3 s", 0.34, Duration(3'000), kAim),
      CrashAfterRelease("two thirds lost after 1 s", 0.67, Duration(1'000),
                        kPromised),
      {"a third lost without a release", kAim,
       [](StreamFleetModel* fleet, std::size_t) { Crash(fleet, 0.34); }},
      {"three versions", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(6'000));
         fleet->Release("three", 0.4, GapFor(daemons, Duration(4'000)));
         fleet->Run(Duration(3'000));
         Crash(fleet, 0.34);
       }},
      {"a directory that lags", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(5'000));
         Crash(fleet, 0.2);
         fleet->Run(Duration(5'000));
         Crash(fleet, 0.2);
       },
       [](StreamFleetModel::Options* options) {
         options->min_directory_lag = Duration(3'000);
         options->max_directory_lag = Duration(12'000);
       }},
  };
}

std::vector<Scenario> OtherScenarios() {
  const auto make_young = [](StreamFleetModel::Options* options) {
    options->daemon_age = Duration(1'000);
  };
  return {
      {"a zone cut off", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(3'000));
         fleet->CutZone(Duration(6'000));
         fleet->Run(Duration(2'000));
         fleet->CrashUpstreams(0.2);
       }},
      {"a restart of all daemons in a release", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(2'000));
         fleet->RestartDaemons(Duration(1'500));
         fleet->Run(Duration(6'000));
         fleet->CrashUpstreams(0.2);
       }},
      {"a restart of all daemons without a release", kAim,
       [](StreamFleetModel* fleet, std::size_t) {
         fleet->RestartDaemons(Duration(1'500));
       }},
      {"a fast restart of all daemons without a release", kAim,
       [](StreamFleetModel* fleet, std::size_t) {
         fleet->RestartDaemons(Duration(700));
       }},
      {"daemons with an old list", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         fleet->CutFromStore(0.2, Duration(15'000));
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(7'000));
         Crash(fleet, 0.2);
       }},
      {"daemons that have just started", kAim,
       [](StreamFleetModel* fleet, std::size_t) { Crash(fleet, 0.34); },
       make_young},
      {"daemons that have just started and a release", kAim,
       [](StreamFleetModel* fleet, std::size_t daemons) {
         ReleaseHalf(fleet, daemons);
         fleet->Run(Duration(4'000));
         Crash(fleet, 0.34);
       },
       make_young},
  };
}

StreamFleetModel Play(const Scenario& scenario, std::size_t daemons,
                      std::uint64_t seed, bool uses_records) {
  auto options = SizedOptions(daemons, seed);
  options.uses_records = uses_records;
  if (scenario.adjust) scenario.adjust(&options);
  StreamFleetModel fleet(options);
  fleet.Run(Duration(5'000));
  scenario.play(&fleet, daemons);
  fleet.Run(Duration(20'000));
  return fleet;
}

std::string Summary(const StreamFleetModel& fleet) {
  const auto& checker = fleet.checker();
  return fmt::format(
      "{} mixed, {} resumed, {:.3f} of the share of new ones; record {}, "
      "only version {}, before release {}, unknown {}",
      checker.MixedStreams(), checker.resumed(),
      checker.RelativeShare().value_or(-1),
      fleet.Decided(VersionSource::kRecord),
      fleet.Decided(VersionSource::kOnlyVersion),
      fleet.Decided(VersionSource::kBeforeRelease),
      fleet.Decided(VersionSource::kUnknown));
}

void CheckRules(const std::vector<Scenario>& scenarios) {
  for (const auto daemons : kSizes) {
    for (const auto& scenario : scenarios) {
      const auto fleet = Play(scenario, daemons, daemons, true);
      const auto text = fmt::format("{} daemons, {}: {}", daemons,
                                    scenario.name, Summary(fleet));
      MESSAGE(text);
      const auto& checker = fleet.checker();
      CHECK_MESSAGE(!checker.BreaksOrder(), text);
      CHECK_MESSAGE(checker.resumed() > 0, text);
      CHECK_MESSAGE(checker.RelativeShare().value_or(1) >= scenario.min_share,
                    text);
    }
  }
}

}  // namespace

TEST_CASE("the rule for the versions of streams") {
  StreamVersionChecker checker;

  SUBCASE("allows two streams of two versions, but not three") {
    for (const auto* stream : {"a", "b"}) {
      checker.OnEvents(stream, "s", "one");
      checker.OnEvents(stream, "s", "two");
      checker.OnEvents(stream, "s", "three");
    }
    checker.OnEvents("c", "s", "one");
    checker.OnEvents("c", "other", "two");
    CHECK(checker.MixedStreams() == 2);
    CHECK_FALSE(checker.BreaksOrder());
    checker.OnEvents("c", "s", "two");
    CHECK(checker.BreaksOrder());
  }
  SUBCASE("compares resumed streams with new ones, from twelve on") {
    for (int i = 0; i < 10; ++i) checker.OnNew(i < 8);
    for (int i = 0; i < 11; ++i) checker.OnResumed(std::to_string(i));
    CHECK_FALSE(checker.RelativeShare());
    CHECK_FALSE(checker.LosesStreams());
    checker.OnResumed("11");
    CHECK(checker.LosesStreams());
    for (int i = 0; i < 4; ++i) checker.OnWentOn(std::to_string(i));
    CHECK(checker.LosesStreams());
    checker.OnWentOn("4");
    checker.OnWentOn("never resumed");
    CHECK_FALSE(checker.LosesStreams());
  }
}

// Guards against streams that hold events of two software versions, and against
// streams that are refused, when daemons are lost (incident ORDER).
TEST_CASE("streams go on at their version when daemons are lost") {
  CheckRules(LossScenarios());
}

// Guards against streams of two software versions, and refused ones, while
// daemons restart or do not reach each other (incident ORDER).
TEST_CASE("streams go on at their version when daemons restart or are cut") {
  CheckRules(OtherScenarios());
}

TEST_CASE("without records, streams are mixed") {
  for (const auto daemons : kSizes) {
    const auto scenario =
        CrashAfterRelease("a third lost", 0.34, Duration(10'000), kAim);
    const auto fleet = Play(scenario, daemons, daemons, false);
    MESSAGE(fmt::format("{} daemons, without records: {}", daemons,
                        Summary(fleet)));
    CHECK(fleet.checker().BreaksOrder());
  }
}

// Guards against a number of messages that grows with the number of daemons.
TEST_CASE("the messages of a daemon do not grow with the fleet") {
  struct Load {
    double messages = 0;
    double bytes = 0;
    double records = 0;
  };
  std::vector<Load> loads;
  for (const auto daemons : kSizes) {
    StreamFleetModel fleet(SizedOptions(daemons, daemons));
    ReleaseHalf(&fleet, daemons);
    fleet.Run(Duration(5'000));
    const auto before = fleet.traffic();
    constexpr Duration kMeasured{40'000};
    fleet.Run(kMeasured);
    const double per = static_cast<double>(daemons) * SecondsOf(kMeasured);
    const auto& after = fleet.traffic();
    loads.push_back(
        {static_cast<double>(after.messages - before.messages) / per,
         static_cast<double>(after.bytes - before.bytes) / per,
         static_cast<double>(after.most_records)});
    MESSAGE(
        fmt::format("{} daemons: {:.2f} messages and {:.0f} bytes a second "
                    "and daemon, at most {} records in one",
                    daemons, loads.back().messages, loads.back().bytes,
                    after.most_records));
  }
  // Small fleets keep a part of the records to themselves.
  constexpr double kTolerance = 1.3;
  CHECK(loads[2].messages <= kTolerance * loads[1].messages);
  CHECK(loads[2].bytes <= kTolerance * loads[1].bytes);
  CHECK(loads[2].records <= kTolerance * loads[1].records);
  CHECK(loads[1].messages <= 2 * loads[0].messages);
}

// Guards against daemons that stop at the same time and pass the same records
// back and forth, more of them each time.
TEST_CASE("a restart of all daemons sends each record a few times") {
  // Four holders each when it begins, when its daemon stops, and when each of
  // the holders stops, and the same for questions and replies.
  constexpr std::size_t kPerStream = 32;
  for (const auto daemons : kSizes) {
    StreamFleetModel fleet(SizedOptions(daemons, daemons));
    ReleaseHalf(&fleet, daemons);
    fleet.Run(Duration(5'000));
    fleet.RestartDaemons(Duration(1'500));
    fleet.Run(Duration(20'000));
    const auto per_stream = fleet.traffic().messages / fleet.streams();
    MESSAGE(fmt::format("{} daemons: {} messages a stream in a restart",
                        daemons, per_stream));
    CHECK(per_stream <= kPerStream);
  }
}

TEST_CASE("any mix of faults") {
  CHECK(rc::check("mixes no more streams than the rule allows", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    auto options = SizedOptions(8, seed);
    options.daemon_age = Duration(*rc::gen::element(1'000, 3'600'000));
    StreamFleetModel fleet(options);
    fleet.Run(Duration(3'000));
    const auto faults = *rc::gen::inRange(1, 5);
    for (int i = 0; i < faults; ++i) {
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          fleet.Release(fmt::format("v{}", i), 0.5, Duration(400));
          break;
        case 1:
          fleet.KillDaemons(0.25);
          break;
        case 2:
          fleet.RestartDaemons(Duration(1'000));
          break;
        case 3:
          fleet.CutZone(Duration(3'000));
          break;
        case 4:
          fleet.CutFromStore(0.25, Duration(5'000));
          break;
        default:
          fleet.CrashUpstreams(0.3);
      }
      fleet.Run(Duration(*rc::gen::inRange(100, 5'000)));
    }
    fleet.Run(Duration(10'000));
    RC_ASSERT(!fleet.checker().BreaksOrder());
  }));
}

}  // namespace firmoor
