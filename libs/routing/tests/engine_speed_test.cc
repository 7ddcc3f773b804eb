#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/upstream_picker.h"

namespace firmoor {
namespace {

/// One daemon before engines that read prompts at a constant speed.
class Engines {
 public:
  Engines(double tokens_per_s, bool learned)
      : tokens_per_s_(tokens_per_s),
        picker_({"east", {{"east", "r1"}}}, OptionsFor(learned)) {
    ServiceProfile model;
    model.name = "model";
    model.engine = EngineProfile{};
    picker_.SetServices({model});
    std::map<std::string, UpstreamEntry> entries;
    for (const auto* id : {"a", "b", "c", "d"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "model";
      entry.availability_zone = "east";
      entry.slots = 24;
      entries[id] = entry;
    }
    picker_.SetUpstreams(entries);
  }

  /// Requests one after the other, of one of `parts` shared parts each.
  /// `slow` takes `factor` times as long.
  std::vector<std::string> Run(int requests, int parts,
                               const std::string& slow = "",
                               double factor = 1) {
    std::vector<std::string> choices;
    for (int i = 0; i < requests; ++i) {
      PickRequest request;
      request.service = "model";
      const double own = 400.0 + 300.0 * (i % 8);
      const auto part = static_cast<std::uint64_t>(i % parts) + 1;
      request.chunks = {{part, 6'000}, {1'000 + next_++, own}};
      request.prompt_tokens = 6'000 + own;
      const auto picked = picker_.Pick(request, now_);
      REQUIRE(picked);
      choices.push_back(picked->id);
      auto ticket = picker_.OnSend(picked->id, request, now_);
      const double time_s = 0.08 + ticket.prefill_tokens / tokens_per_s_;
      now_ += DurationOfSeconds(picked->id == slow ? time_s * factor : time_s);
      picker_.OnFirstEvent(&ticket, now_);
      picker_.OnEnd(&ticket, UpstreamOutcome::kSuccess, now_);
    }
    return choices;
  }
  [[nodiscard]] double TokensPerS() const {
    return picker_.TokensPerS("model");
  }

 private:
  static UpstreamPicker::Options OptionsFor(bool learned) {
    UpstreamPicker::Options options;
    options.learned_capacity = learned;
    options.learned_engines = learned;
    return options;
  }

  double tokens_per_s_;
  UpstreamPicker picker_;
  TimePoint now_{Duration(1'000'000)};
  std::uint64_t next_ = 0;
};

}  // namespace

TEST_CASE(
    "engines that read as fast as assumed are chosen as without learning") {
  Engines learned(50'000, true);
  Engines plain(50'000, false);
  CHECK(learned.Run(400, 12) == plain.Run(400, 12));
}

// Guards against waits that are expected three times too long, as a constant
// reading speed gave them.
TEST_CASE("engines that read three times as fast as assumed") {
  Engines engines(157'000, true);
  engines.Run(600, 12);
  CHECK(engines.TokensPerS() > 110'000);
  CHECK(engines.TokensPerS() < 200'000);
}

TEST_CASE("the home of a shared part is slow for some seconds") {
  Engines engines(50'000, true);
  const auto home = engines.Run(200, 1).back();
  const auto during = engines.Run(16, 1, home, 7.5);
  CHECK(std::count(during.begin(), during.end(), home) <= 5);
  SUBCASE("it gets the part's requests again afterwards") {
    CHECK(engines.Run(200, 1).back() == home);
  }
}

}  // namespace firmoor
