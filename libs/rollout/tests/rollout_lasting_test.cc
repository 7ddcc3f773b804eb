#include <doctest/doctest.h>

#include "rollout/rollout_guard.h"

namespace firmoor {
namespace {

constexpr const char* kService = "s";
constexpr Duration kOver{12'000};

using Upstreams = std::map<std::string, UpstreamEntry>;

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms)); }

void Add(Upstreams* upstreams, const std::string& id,
         const std::string& version) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = std::string(kService);
  entry.software_version = version;
  upstreams->insert_or_assign(id, entry);
}

RolloutReplies Reply(const std::string& target, RolloutStage stage) {
  return {{kService, {target, stage}}};
}

/// A guard that has an order for "v2", and upstreams of "v1" and "v2".
struct OrderedGuard {
  RolloutGuard guard;
  Upstreams upstreams;

  OrderedGuard() : guard(Settings(), "d") {
    Add(&upstreams, "a", "v1");
    Add(&upstreams, "b", "v2");
    guard.ApplyOrder({kService, "v2", kOver}, upstreams, At(0));
  }
  static RolloutSettings Settings() {
    RolloutSettings settings;
    settings.enabled = true;
    return settings;
  }
  [[nodiscard]] bool Passes(const std::string& id) const {
    return guard.FilterFor(kService, false, At(1'000))
        .Passes(id, upstreams.at(id).software_version);
  }
  [[nodiscard]] bool MaySend(const std::string& version) const {
    return guard.MaySend(kService, version, false, At(1'000));
  }
};

TEST_CASE("What a roll-out has come to lasts") {
  OrderedGuard fleet;
  auto& guard = fleet.guard;
  auto& upstreams = fleet.upstreams;

  GIVEN("a complete one whose old upstreams are gone") {
    guard.Apply(Reply("v2", RolloutStage::kComplete), At(10));
    upstreams.erase("a");
    guard.SetUpstreams(upstreams, At(20));
    CHECK(fleet.Passes("b"));
    WHEN("another coordinator has not read the order") {
      // Guards against a service that is refused as a whole, since the only
      // version that is left is avoided.
      for (const auto stage : {RolloutStage::kWaiting, RolloutStage::kCanary}) {
        guard.Apply(Reply("v2", stage), At(30));
        CHECK(fleet.Passes("b"));
        CHECK(fleet.MaySend("v2"));
        CHECK(guard.IsCapacity(upstreams["b"]));
      }
    }
  }
  GIVEN("one that moves as another coordinator takes over") {
    guard.Apply(Reply("v2", RolloutStage::kAll), At(10));
    guard.Apply(Reply("v2", RolloutStage::kWaiting), At(20));
    CHECK(guard.ChoosesTarget(kService, true, At(30)));
  }
}

}  // namespace
}  // namespace firmoor
