#include "rollout/rollout_guard.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

TimePoint At(std::int64_t ms) { return TimePoint(Duration(ms)); }

UpstreamEntry Upstream(const std::string& id, const std::string& version) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.software_version = version;
  return entry;
}

std::map<std::string, UpstreamEntry> Upstreams(int old, int target) {
  std::map<std::string, UpstreamEntry> entries;
  for (int i = 0; i < old; ++i) {
    const auto id = "old" + std::to_string(i);
    entries[id] = Upstream(id, "v1");
  }
  for (int i = 0; i < target; ++i) {
    const auto id = "new" + std::to_string(i);
    entries[id] = Upstream(id, "v2");
  }
  return entries;
}

RolloutSettings Settings() {
  RolloutSettings settings;
  settings.enabled = true;
  return settings;
}

/// Sends `count` requests as the guard decides; returns those to the target.
int Send(RolloutGuard* guard, int count, TimePoint now) {
  int to_target = 0;
  for (int i = 0; i < count; ++i) {
    const bool target = guard->ChoosesTarget("s", true, now);
    to_target += target ? 1 : 0;
    guard->OnSend("s", target ? "v2" : "v1", true, now);
  }
  return to_target;
}

TEST_CASE("A daemon keeps what the target of a roll-out gets") {
  RolloutGuard guard(Settings(), "d1");
  guard.ApplyOrder({"s", "v2", Duration(12'000)}, Upstreams(20, 20), At(0));
  const RolloutReplies canary{{"s", {"v2", RolloutStage::kCanary}}};
  const RolloutReplies all{{"s", {"v2", RolloutStage::kAll}}};
  const RolloutReplies reverted{{"s", {"v2", RolloutStage::kReverted}}};

  GIVEN("no word of the coordinator") {
    CHECK(Send(&guard, 1'000, At(10)) == 0);
    CHECK_FALSE(guard.MaySend("s", "v2", false, At(10)));
    CHECK(guard.FilterFor("s", false, At(10)).avoid == "v2");
  }
  GIVEN("canary requests") {
    guard.Apply(canary, At(0));
    THEN("the target gets less than the share") {
      const int sent = Send(&guard, 1'000, At(10));
      CHECK(sent > 50);
      CHECK(sent <= 80);
    }
    THEN("further attempts count, and leave the target") {
      guard.OnSend("s", "v2", false, At(10));
      guard.OnSend("s", "v2", false, At(10));
      CHECK(Send(&guard, 20, At(10)) == 0);
      CHECK_FALSE(guard.ChoosesTarget("s", false, At(10)));
    }
    THEN("what is used carries the usual load, in two turns") {
      const auto first = guard.FilterFor("s", true, At(10)).among;
      const auto second = guard.FilterFor("s", true, At(2'010)).among;
      CHECK(first.size() == 1);
      CHECK(second.size() == 1);
      CHECK(first != second);
    }
    WHEN("the coordinator's word grows old") {
      // Guards against a daemon that is cut off and goes on with a bad version.
      Send(&guard, 100, At(10));
      CHECK(Send(&guard, 1'000, At(2'600)) == 0);
      CHECK_FALSE(guard.MaySend("s", "v2", false, At(2'600)));
    }
    WHEN("the old upstreams are all gone") {
      // Guards against a version that gets everything by accident.
      guard.SetUpstreams(Upstreams(0, 20), At(0));
      CHECK(guard.FilterFor("s", false, At(10)).avoid == "v2");
    }
    THEN("its upstreams are not taken for capacity") {
      // Guards against orders that give back the old engines since as many of
      // the target stand beside them.
      CHECK(guard.IsCapacity(Upstream("old1", "v1")));
      CHECK_FALSE(guard.IsCapacity(Upstream("new1", "v2")));
      guard.Apply(all, At(20));
      CHECK_FALSE(guard.IsCapacity(Upstream("old1", "v1")));
      CHECK(guard.IsCapacity(Upstream("new1", "v2")));
    }
    WHEN("a few requests to it fail here") {
      int ended = 0;
      bool stopped = false;
      while (!stopped && ended < 20) {
        for (int i = 0; i < 9; ++i) {
          guard.OnEnd(Upstream("old1", "v1"), "r", false, At(20));
        }
        stopped = guard.OnEnd(Upstream("new1", "v2"), "r", true, At(20));
        ++ended;
      }
      THEN("the daemon stops by itself after five at most") {
        CHECK(ended <= 5);
        CHECK(Send(&guard, 1'000, At(30)) == 0);
      }
      THEN("it goes on when the coordinator still says so later") {
        guard.Apply(canary, At(500));
        CHECK(Send(&guard, 100, At(500)) == 0);
        guard.Apply(canary, At(1'600));
        CHECK(Send(&guard, 100, At(1'600)) > 0);
      }
    }
  }
  GIVEN("a target that gets all") {
    guard.Apply(all, At(0));
    CHECK(Send(&guard, 100, At(10)) == 100);
    CHECK(guard.FilterFor("s", true, At(10)).only == "v2");
    WHEN("it is reverted") {
      guard.Apply(reverted, At(100));
      CHECK(Send(&guard, 100, At(110)) == 0);
      CHECK_FALSE(guard.MaySend("s", "v2", true, At(110)));
      THEN("another coordinator that knows less does not change it") {
        guard.Apply(all, At(200));
        CHECK(Send(&guard, 100, At(210)) == 0);
      }
      THEN("an order for another version starts anew") {
        guard.ApplyOrder({"s", "v3", Duration(12'000)}, Upstreams(20, 20),
                         At(300));
        guard.Apply({{"s", {"v3", RolloutStage::kCanary}}}, At(300));
        CHECK(guard.FilterFor("s", false, At(310)).avoid == "v3");
      }
    }
  }
  GIVEN("an order for the version that all upstreams have") {
    RolloutGuard other(Settings(), "d2");
    other.ApplyOrder({"s", "v1", Duration(12'000)}, Upstreams(20, 0), At(0));
    other.Apply({{"s", {"v1", RolloutStage::kCanary}}}, At(0));
    CHECK(other.FilterFor("s", false, At(10)) == VersionFilter());
    CHECK(other.MaySend("s", "v1", false, At(10)));
  }
  GIVEN("settings that do not ask for roll-outs") {
    RolloutGuard off(RolloutSettings(), "d1");
    off.ApplyOrder({"s", "v2", Duration(12'000)}, Upstreams(2, 2), At(0));
    CHECK_FALSE(off.IsActive());
    CHECK(off.FilterFor("s", false, At(10)) == VersionFilter());
  }
}

}  // namespace
}  // namespace firmoor
