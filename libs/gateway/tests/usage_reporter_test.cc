#include "gateway/usage_reporter.h"

#include <doctest/doctest.h>

#include <map>

namespace firmoor {
namespace {

/// A store with one object and a cloud API that remembers reports.
struct World {
  StoredObject object;
  std::map<std::int64_t, UsageCounts> reported;
  bool complete = true;

  UsageReporter Duty(std::int64_t count) {
    return UsageReporter(UsageReporter::Timing(),
                         {[count](std::int64_t) {
                            return UsageCounts{{"w", count}};
                          },
                          [this](std::int64_t) { return complete; }});
  }
  /// Carries out one step; false when there is none.
  bool Step(UsageReporter* duty, std::int64_t true_ms,
            CloudStatus cloud = CloudStatus::kOk) {
    const auto step = duty->Next(true_ms);
    if (!step) return false;
    if (std::holds_alternative<UsageReporter::ReadState>(*step)) {
      duty->OnRead(
          object.version == 0 ? StoreStatus::kNotFound : StoreStatus::kOk,
          object);
    } else if (const auto* write =
                   std::get_if<UsageReporter::WriteState>(&*step)) {
      const bool good = write->expected == object.version;
      if (good) object = {object.version + 1, write->value};
      duty->OnWrite(good ? StoreStatus::kOk : StoreStatus::kConflict,
                    object.version);
    } else {
      const auto& report = std::get<UsageReporter::SendReport>(*step).report;
      const auto known = reported.find(report.window);
      if (known != reported.end()) CHECK(known->second == report.counts);
      reported[report.window] = report.counts;
      duty->OnSent(cloud);
    }
    return true;
  }
  void Run(UsageReporter* duty, std::int64_t true_ms) {
    for (int i = 0; i < 20 && Step(duty, true_ms); ++i) {
    }
  }
};

constexpr std::int64_t kNow = 1'000'000'000;  // Start of window 200,000.

}  // namespace

TEST_CASE("usage is reported window after window") {
  World world;
  auto duty = world.Duty(7);
  world.Run(&duty, kNow + 1'000);
  CHECK(world.reported ==
        std::map<std::int64_t, UsageCounts>{{199'999, {{"w", 7}}}});
  world.Run(&duty, kNow + 6'000);
  CHECK(world.reported.contains(200'000));

  SUBCASE("not before the window has ended") {
    world.Run(&duty, kNow + 9'999);
    CHECK_FALSE(world.reported.contains(200'001));
  }
  SUBCASE("waiting for daemons that have not reported, but not for ever") {
    world.complete = false;
    // The window ends at 10 s and is due at 20 s.
    world.Run(&duty, kNow + 18'000);
    CHECK_FALSE(world.reported.contains(200'001));
    world.Run(&duty, kNow + 19'000);
    CHECK(world.reported.contains(200'001));
  }
  SUBCASE("leaving out windows that would be too late") {
    world.Run(&duty, kNow + 60'000);
    CHECK_FALSE(world.reported.contains(200'002));
    CHECK(world.reported.contains(200'010));
  }
}

TEST_CASE("the first window is reported also when its counts settle late") {
  World world;
  world.complete = false;
  auto duty = world.Duty(7);
  // Due 10 s after its end.
  for (std::int64_t ms = 0; ms < 10'000; ms += 250) world.Run(&duty, kNow + ms);
  CHECK(world.reported.contains(199'999));
}

TEST_CASE("a daemon that takes over repeats the same counts") {
  World world;
  auto first = world.Duty(7);
  REQUIRE(world.Step(&first, kNow + 1'000));  // Reads.
  REQUIRE(world.Step(&first, kNow + 1'000));  // Writes, then dies.
  auto second = world.Duty(9);

  SUBCASE("of a window that may have been sent") {
    world.Run(&second, kNow + 2'000);
    CHECK(world.reported[199'999] == UsageCounts{{"w", 7}});
  }
  SUBCASE("also when the first one wakes up and sends as well") {
    world.Run(&second, kNow + 2'000);
    world.Run(&first, kNow + 2'500);
    CHECK(world.reported[199'999] == UsageCounts{{"w", 7}});
  }
  SUBCASE("and the first one follows what the second one wrote") {
    world.Run(&second, kNow + 6'000);
    world.Run(&first, kNow + 6'500);
    CHECK(world.reported[200'000] == UsageCounts{{"w", 9}});
  }
}

TEST_CASE("a report that got no answer is sent again") {
  World world;
  auto duty = world.Duty(3);
  world.Step(&duty, kNow + 1'000);
  world.Step(&duty, kNow + 1'000);
  REQUIRE(world.Step(&duty, kNow + 1'000, CloudStatus::kUnavailable));
  world.reported.clear();
  world.Run(&duty, kNow + 2'000);
  CHECK(world.reported.contains(199'999));
}

}  // namespace firmoor
