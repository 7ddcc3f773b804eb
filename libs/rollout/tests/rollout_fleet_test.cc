#include <doctest/doctest.h>

#include <string>

#include "rollout_fleet_model.h"

namespace firmoor {
namespace {

using Model = RolloutFleetModel;

// Of the operators' rules: share, requests beyond it, and the time from the
// 50th bad answer to the last request.
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr std::int64_t kRollbackMs = 5'000;

ModelAnswer Sound(const ModelRequest&, double random) {
  return {random < 0.002, 30 + 40 * random};
}

struct Fault {
  const char* name;
  ModelAnswer (*answer)(const ModelRequest&, double random);
};

ModelAnswer FailsIf(bool is_bad, const ModelRequest& request, double random) {
  if (request.is_target && is_bad && random < 0.4) return {true, 30};
  return Sound(request, random);
}

constexpr Fault kFaults[] = {
    {"errors", [](const ModelRequest& request,
                  double random) { return FailsIf(true, request, random); }},
    {"late",
     [](const ModelRequest& request, double random) {
       return FailsIf(request.ms > 6'500, request, random);
     }},
    {"under load",
     [](const ModelRequest& request, double random) {
       return FailsIf(request.load > 6, request, random);
     }},
    {"on one route",
     [](const ModelRequest& request, double random) {
       return FailsIf(request.route == "r1", request, random);
     }},
    {"slow",
     [](const ModelRequest& request, double random) {
       auto answer = Sound(request, random);
       if (request.is_target) answer.time_ms *= 8;
       return answer;
     }},
};

void CheckReverted(const Model::Result& result, const Model::Config& config) {
  CHECK(result.state == kRolloutReverted);
  const auto deadline = config.over.count();
  const bool is_reverted = result.ended_ms && *result.ended_ms <= deadline;
  const bool is_stopped =
      !result.last_target_ms || *result.last_target_ms <= deadline;
  CHECK((is_reverted || is_stopped));
  CHECK(static_cast<double>(result.exposed) <=
        kExposeShare * static_cast<double>(result.requests) + kExposeSlack);
  if (!result.fiftieth_bad_ms || !result.last_target_ms) return;
  CHECK(*result.last_target_ms - *result.fiftieth_bad_ms <= kRollbackMs);
}

void CheckComplete(const Model::Result& result, const Model::Config& config) {
  CHECK(result.state == kRolloutComplete);
  REQUIRE(result.ended_ms);
  CHECK(*result.ended_ms <= config.over.count());
  CHECK(result.cut_streams <= 5);
}

TEST_CASE("Fleets of all sizes revert bad versions and complete sound ones") {
  for (const int daemons : {8, 74, 295}) {
    CAPTURE(daemons);
    Model::Config config;
    config.daemons = daemons;
    for (const auto& fault : kFaults) {
      CAPTURE(std::string(fault.name));
      config.answer = fault.answer;
      const auto result = Model::Play(config);
      MESSAGE(daemons << " daemons, " << std::string(fault.name) << ": share "
                      << result.Share() << ", bad " << result.bad
                      << ", ended ms " << result.ended_ms.value_or(-1));
      CheckReverted(result, config);
    }
    config.answer = Sound;
    const auto result = Model::Play(config);
    MESSAGE(daemons << " daemons, sound: ended ms "
                    << result.ended_ms.value_or(-1) << ", cut "
                    << result.cut_streams);
    CheckComplete(result, config);
  }
}

TEST_CASE("A version that fails late shows at a service of many upstreams") {
  // Guards against a fault that is taken for that of one upstream, since others
  // were used before the version failed.
  Model::Config config;
  config.daemons = 74;
  config.baseline = 300;
  config.targets = 300;
  config.requests_per_s = 700;
  config.answer = kFaults[1].answer;
  CheckReverted(Model::Play(config), config);
}

TEST_CASE("Exposure holds whatever is lost") {
  Model::Config config;
  config.daemons = 74;
  config.answer = kFaults[0].answer;
  SUBCASE("a third of the messages") { config.lost_messages = 0.3; }
  SUBCASE("half of the daemons cut off") {
    config.cut_off = 37;
    config.cut_at_ms = 3'500;
  }
  SUBCASE("the coordinator, before the version fails") {
    config.answer = kFaults[1].answer;
    config.change_at_ms = 6'000;
  }
  SUBCASE("the store at the deadline") {
    config.store_down_from_ms = 4'000;
    config.store_down_until_ms = 16'000;
  }
  CheckReverted(Model::Play(config), config);
}

TEST_CASE("A sound version is completed whatever else happens") {
  Model::Config config;
  config.daemons = 74;
  config.answer = Sound;
  SUBCASE("one of its upstreams fails") {
    // Guards against a sound version that is reverted for one bad upstream.
    config.answer = [](const ModelRequest& request, double random) {
      const bool is_grey = request.upstream == "v2-3";
      return FailsIf(is_grey, request, random);
    };
  }
  SUBCASE("the service is in trouble as a whole") {
    config.answer = [](const ModelRequest&, double random) {
      return ModelAnswer{random < 0.3, 60};
    };
  }
  SUBCASE("its engines are cold") {
    config.answer = [](const ModelRequest& request, double random) {
      auto answer = Sound(request, random);
      if (request.is_target && request.ms < 9'000) answer.time_ms *= 2;
      return answer;
    };
  }
  SUBCASE("another coordinator takes over") { config.change_at_ms = 4'000; }
  CheckComplete(Model::Play(config), config);
}

}  // namespace
}  // namespace firmoor
