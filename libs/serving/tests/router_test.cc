#include "serving/router.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "serving/prefix_chunks.h"
#include "serving/upstream_table.h"

namespace firmoor {
namespace {

constexpr TimePoint kNow{Duration(1'000'000)};

RouteRequest RequestWithPrompt(const std::string& text) {
  RouteRequest request;
  request.chunks = PrefixChunks(text);
  request.prompt_tokens = EstimateTokens(text);
  return request;
}

std::string PromptText(char letter) {
  return std::string(8 * kChunkBytes, letter);
}

Vm MakeVm(const std::string& id, bool leaving = false) {
  return {id, "service", "zone", "region", {"127.0.0.1", 1}, true, leaving};
}

}  // namespace

TEST_CASE("a router with the expected-time strategy") {
  Router router(MakeRoutingStrategy("expected-time"));
  for (const char* id : {"a", "b", "c"}) {
    router.AddReplica(id, Router::Distance::kZone, 4);
  }
  const auto prompt = RequestWithPrompt(PromptText('x'));
  const auto first = router.Pick(prompt, kNow);
  REQUIRE(first.has_value());

  SUBCASE("picks the replica that has the prefix cached") {
    auto ticket = router.OnDispatch(first->id, prompt, kNow);
    router.OnEnd(&ticket);
    const auto again = router.Pick(prompt, kNow);
    CHECK(again->id == first->id);
    CHECK(again->matched_chunks == 8);
  }
  SUBCASE("waits for that replica when it is full") {
    for (int i = 0; i < 4; ++i) router.OnDispatch(first->id, prompt, kNow);
    const auto other = router.Pick(prompt, kNow);
    REQUIRE(other.has_value());
    CHECK(other->id != first->id);
    CHECK(router.IsWorthWaiting(prompt, *other, kNow));
    SUBCASE("but not when another one has the prefix too") {
      router.OnCacheStored(other->id, prompt.chunks);
      CHECK_FALSE(
          router.IsWorthWaiting(prompt, *router.Pick(prompt, kNow), kNow));
    }
    SUBCASE("nor when it is leaving") {
      router.SetLeaving(first->id);
      CHECK_FALSE(router.IsWorthWaiting(prompt, *other, kNow));
    }
    SUBCASE("nor when it is ejected") {
      router.OnFailure(first->id, kNow);
      CHECK_FALSE(router.IsWorthWaiting(prompt, *other, kNow));
    }
    SUBCASE("nor for a prompt that no replica has cached") {
      const auto fresh = RequestWithPrompt(PromptText('y'));
      CHECK_FALSE(
          router.IsWorthWaiting(fresh, *router.Pick(fresh, kNow), kNow));
    }
  }
  SUBCASE("picks the same replica for a new prefix at every daemon") {
    Router other(MakeRoutingStrategy("expected-time"));
    for (const char* id : {"c", "b", "a"}) {
      other.AddReplica(id, Router::Distance::kZone, 4);
    }
    CHECK(other.Pick(prompt, kNow)->id == first->id);
  }
  SUBCASE("spreads a hot prefix before its replica is overloaded") {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 12; ++i) {
      const auto choice = router.Pick(prompt, kNow);
      REQUIRE(choice.has_value());
      router.OnDispatch(choice->id, prompt, kNow);
      ++chosen[choice->id];
    }
    CHECK(chosen.size() == 3);
    CHECK_FALSE(router.Pick(prompt, kNow).has_value());
  }
  SUBCASE("spreads requests without a prefix") {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 6; ++i) {
      const auto choice = router.Pick({}, kNow);
      router.OnDispatch(choice->id, {}, kNow);
      ++chosen[choice->id];
    }
    CHECK(chosen.size() == 3);
    CHECK(chosen.begin()->second == 2);
  }
  SUBCASE("counts its own dispatches before any load report") {
    router.OnDispatch(first->id, prompt, kNow);
    CHECK(router.Pick(RequestWithPrompt(PromptText('y')), kNow)->id !=
          first->id);
  }
  SUBCASE("removes chunks that the replica evicted") {
    auto ticket = router.OnDispatch(first->id, prompt, kNow);
    router.OnEnd(&ticket);
    router.OnCacheRemoved(first->id, prompt.chunks);
    CHECK(router.Pick(prompt, kNow)->matched_chunks == 0);
  }
  SUBCASE("never picks a leaving replica") {
    for (const char* id : {"a", "b", "c"}) router.SetLeaving(id);
    CHECK_FALSE(router.Pick(prompt, kNow).has_value());
    CHECK(router.Capacity(kNow) == 0);
  }
  SUBCASE("avoids an ejected replica, unless all are ejected") {
    router.OnFailure(first->id, kNow);
    CHECK(router.Pick(prompt, kNow)->id != first->id);
    for (const char* id : {"a", "b", "c"}) router.OnFailure(id, kNow);
    CHECK(router.Pick(prompt, kNow).has_value());
  }
}

TEST_CASE("a router prefers the local region") {
  Router router(MakeRoutingStrategy("expected-time"));
  router.AddReplica("far", Router::Distance::kRemote, 4);
  router.AddReplica("near", Router::Distance::kZone, 1);
  const auto prompt = RequestWithPrompt(PromptText('x'));
  CHECK(router.Pick(prompt, kNow)->id == "near");
  router.OnDispatch("near", prompt, kNow);
  CHECK(router.Pick(prompt, kNow)->id == "far");
  auto region_bound = prompt;
  region_bound.may_cross_region = false;
  CHECK_FALSE(router.Pick(region_bound, kNow).has_value());
}

TEST_CASE("the baseline strategies") {
  const auto prompt = RequestWithPrompt(PromptText('x'));
  SUBCASE("round robin alternates between replicas") {
    Router router(MakeRoutingStrategy("round-robin"));
    for (const char* id : {"a", "b"}) {
      router.AddReplica(id, Router::Distance::kZone, 4);
    }
    const auto first = router.Pick(prompt, kNow)->id;
    CHECK(router.Pick(prompt, kNow)->id != first);
    CHECK(router.Pick(prompt, kNow)->id == first);
  }
  SUBCASE("an unknown name gives no strategy") {
    CHECK(MakeRoutingStrategy("magic") == nullptr);
  }
}

TEST_CASE("the table of upstreams") {
  UpstreamTable table;
  table.ApplyVmList({MakeVm("a"), MakeVm("b")}, kNow);
  SUBCASE("keeps a leaving mark when a later list lacks it") {
    table.ApplyVmList({MakeVm("a", true), MakeVm("b")}, kNow);
    table.ApplyVmList({MakeVm("a"), MakeVm("b")}, kNow);
    CHECK(table.IsLeaving("a"));
  }
  SUBCASE("keeps the mark of a VM that an outdated list shows again") {
    table.ApplyVmList({MakeVm("b")}, kNow);
    table.ApplyVmList({MakeVm("a"), MakeVm("b")}, kNow);
    CHECK(table.IsLeaving("a"));
  }
  SUBCASE("accepts a mark before the list shows the VM") {
    CHECK(table.MarkLeaving("c", kNow));
    CHECK_FALSE(table.MarkLeaving("c", kNow));
    table.ApplyVmList({MakeVm("a"), MakeVm("b"), MakeVm("c")}, kNow);
    CHECK(table.IsLeaving("c"));
  }
  SUBCASE("ignores an empty list") {
    table.ApplyVmList({}, kNow);
    CHECK(table.Find("a") != nullptr);
  }
  SUBCASE("reports the differences of a new list") {
    const auto change =
        table.ApplyVmList({MakeVm("b", true), MakeVm("c")}, kNow);
    CHECK(change.added == std::vector<Vm>{MakeVm("c")});
    CHECK(change.removed == std::vector<std::string>{"a"});
    CHECK(change.now_leaving == std::vector<std::string>{"b"});
  }
}

}  // namespace firmoor
