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
    WHEN("a later version is released") {
      // Guards against requests that keep to the target of a roll-out that is
      // long over, and upstreams that are never capacity.
      Add(&upstreams, "c", "v3");
      guard.SetUpstreams(upstreams, At(40));
      CHECK_FALSE(guard.ChoosesTarget(kService, true, At(50)));
      CHECK(fleet.Passes("b"));
      CHECK(fleet.Passes("c"));
      CHECK(guard.IsCapacity(upstreams["b"]));
      CHECK(guard.IsCapacity(upstreams["c"]));
    }
  }
  GIVEN("a complete one whose old upstreams still stop") {
    guard.Apply(Reply("v2", RolloutStage::kComplete), At(10));
    Add(&upstreams, "c", "v2");
    guard.SetUpstreams(upstreams, At(20));
    CHECK(guard.ChoosesTarget(kService, true, At(30)));
    CHECK_FALSE(guard.IsCapacity(upstreams["a"]));
  }
  GIVEN("one that moves as another coordinator takes over") {
    guard.Apply(Reply("v2", RolloutStage::kAll), At(10));
    guard.Apply(Reply("v2", RolloutStage::kWaiting), At(20));
    CHECK(guard.ChoosesTarget(kService, true, At(30)));
  }
  GIVEN("a reverted one") {
    // Guards against a bad version that gets requests again, because the
    // operator orders another one or takes the order back.
    guard.Apply(Reply("v2", RolloutStage::kReverted), At(10));
    const auto is_refused = [&] {
      return !fleet.Passes("b") && !fleet.MaySend("v2") &&
             !guard.IsCapacity(upstreams["b"]) && fleet.Passes("a");
    };
    CHECK(is_refused());
    WHEN("the next version is ordered") {
      Add(&upstreams, "c", "v3");
      guard.ApplyOrder({kService, "v3", kOver}, upstreams, At(20));
      CHECK(is_refused());
      CHECK_FALSE(fleet.Passes("c"));
      guard.Apply(Reply("v3", RolloutStage::kAll), At(30));
      CHECK(is_refused());
      CHECK(fleet.Passes("c"));
    }
    WHEN("the order is removed") {
      guard.RemoveOrder(kService);
      CHECK(guard.IsActive());
      CHECK(is_refused());
      THEN("it is forgotten once its upstreams are gone") {
        upstreams.erase("b");
        guard.SetUpstreams(upstreams, At(30));
        CHECK_FALSE(guard.IsActive());
        Add(&upstreams, "b", "v2");
        guard.SetUpstreams(upstreams, At(40));
        CHECK(fleet.Passes("b"));
      }
      THEN("it serves if nothing else is left") {
        upstreams.erase("a");
        guard.SetUpstreams(upstreams, At(30));
        CHECK(fleet.Passes("b"));
        CHECK(fleet.MaySend("v2"));
      }
      THEN("an order for it decides again") {
        guard.ApplyOrder({kService, "v2", Duration(9'000)}, upstreams, At(30));
        CHECK(is_refused());
        guard.Apply(Reply("v2", RolloutStage::kComplete), At(40));
        upstreams.erase("a");
        Add(&upstreams, "c", "v3");
        guard.SetUpstreams(upstreams, At(50));
        CHECK(fleet.Passes("b"));
      }
    }
  }
}

}  // namespace
}  // namespace firmoor
