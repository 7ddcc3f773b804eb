#include "routing/upstream_catalog.h"

#include <doctest/doctest.h>

#include <optional>

namespace firmoor {
namespace {

constexpr Duration kReregistrationTime{2'000};
constexpr Duration kMaxRemovalDelay{3'500};

UpstreamEntry Entry(std::string id, std::int64_t born_ms = 1) {
  UpstreamEntry entry;
  entry.id = std::move(id);
  entry.born_ms = born_ms;
  entry.service = "plain-service";
  entry.endpoint = {"10.0.0.1", 80};
  return entry;
}

UpstreamEntry Leaving(std::string id, std::int64_t born_ms = 1) {
  auto entry = Entry(std::move(id), born_ms);
  entry.leaving = true;
  return entry;
}

}  // namespace

TEST_CASE("an upstream that leaves") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  catalog.Apply(Entry("a"));
  catalog.Apply(Leaving("a"));

  SUBCASE("does not return as the same instance") {
    catalog.Apply(Entry("a"));
    CHECK(catalog.Find("a")->leaving);
  }
  SUBCASE("returns when it was restarted under the same id") {
    catalog.Apply(Entry("a", 2));
    CHECK_FALSE(catalog.Find("a")->leaving);
  }
}

TEST_CASE("an upstream announces in a response that it is leaving") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint now{Duration(10'000)};
  catalog.Apply(Entry("a"));
  CHECK(catalog.MarkLeaving("a", 1, now));
  CHECK(catalog.Find("a")->leaving);

  SUBCASE("which changes the entry only once") {
    CHECK_FALSE(catalog.MarkLeaving("a", 1, now));
  }
  SUBCASE("and stays leaving regardless of the store") {
    catalog.Apply(Entry("a"));
    CHECK(catalog.Find("a")->leaving);
    SUBCASE("even if its entry was removed and added again") {
      catalog.Remove("a", now);
      REQUIRE(catalog.Find("a") == nullptr);
      catalog.Apply(Entry("a"));
      CHECK(catalog.Find("a")->leaving);
    }
  }
  SUBCASE("and its next instance is not leaving") {
    catalog.Apply(Entry("a", 2));
    CHECK_FALSE(catalog.Find("a")->leaving);
    SUBCASE("even if a response of the previous instance arrives late") {
      CHECK_FALSE(catalog.MarkLeaving("a", 1, now));
      CHECK_FALSE(catalog.Find("a")->leaving);
    }
  }
}

TEST_CASE("an entry is removed") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint start{Duration(10'000)};
  catalog.Apply(Entry("a"));

  SUBCASE("immediately while the store is available") {
    catalog.Remove("a", start);
    CHECK(catalog.Find("a") == nullptr);
  }
  SUBCASE(
      "after a delay following a store outage, during which entries expire") {
    catalog.OnStoreOutage(start);
    catalog.Remove("a", start + Duration(100));
    catalog.ApplyDueRemovals(start + Duration(1'999));
    REQUIRE(catalog.Find("a") != nullptr);
    CHECK(catalog.NextRemoval() == start + kReregistrationTime);
    SUBCASE("and kept if it was registered again in time") {
      catalog.Apply(Entry("a"));
      catalog.ApplyDueRemovals(start + kReregistrationTime);
      CHECK(catalog.Find("a") != nullptr);
    }
    SUBCASE("and removed if it was not registered again") {
      catalog.ApplyDueRemovals(start + kReregistrationTime);
      CHECK(catalog.Find("a") == nullptr);
    }
    SUBCASE("and delayed further while the outage lasts") {
      catalog.OnStoreOutage(start + Duration(1'000));
      catalog.ApplyDueRemovals(start + Duration(2'500));
      CHECK(catalog.Find("a") != nullptr);
      catalog.ApplyDueRemovals(start + Duration(3'000));
      CHECK(catalog.Find("a") == nullptr);
    }
  }
  SUBCASE("when a complete list does not contain it") {
    catalog.Apply(Entry("b"));
    catalog.ApplyAll({Entry("b"), Entry("c")}, start);
    CHECK(catalog.Find("a") == nullptr);
    CHECK(catalog.all().size() == 2);
  }
}

// Guards against requests to upstreams that are gone (DRAIN): each further
// failed call put the removal off, for as long as a daemon lost its store again
// and again.
TEST_CASE("an entry is removed while the store fails again and again") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint start{Duration(10'000)};
  constexpr Duration kOutagePeriod{1'500};
  const auto removed_at = start + Duration(500);
  /// The time at which "a" is first not listed, with an outage each period.
  const auto gone_at = [&]() -> std::optional<TimePoint> {
    for (auto now = removed_at; now < start + Duration(30'000);
         now += Duration(100)) {
      if ((now - start) % kOutagePeriod == Duration(0)) {
        catalog.OnStoreOutage(now);
      }
      catalog.ApplyDueRemovals(now);
      if (catalog.Find("a") == nullptr) return now;
    }
    return std::nullopt;
  };
  catalog.ApplyAll({Entry("a"), Entry("b")}, TimePoint{Duration(1)});
  catalog.OnStoreOutage(start);

  SUBCASE("and is gone in time, as others of its service are registered") {
    catalog.Remove("a", removed_at);
    CHECK(catalog.NextRemoval() == start + kReregistrationTime);
    CHECK(gone_at() == removed_at + kMaxRemovalDelay);
    CHECK(catalog.Find("b") != nullptr);
    SUBCASE("and returns once it registers again") {
      catalog.Apply(Entry("a"));
      CHECK(catalog.Find("a") != nullptr);
    }
  }
  SUBCASE("and is gone in time when it is seen missing again and again") {
    catalog.Remove("a", removed_at);
    catalog.OnStoreOutage(start + Duration(600));
    catalog.Remove("a", start + Duration(700));
    CHECK(gone_at() == removed_at + kMaxRemovalDelay);
  }
  SUBCASE("and stays while no upstream of its service is registered") {
    catalog.Remove("a", removed_at);
    catalog.Remove("b", removed_at);
    CHECK(gone_at() == std::nullopt);
    CHECK(catalog.Find("b") != nullptr);
  }
  SUBCASE("and is gone in time once another one has registered again") {
    catalog.Remove("a", removed_at);
    catalog.Remove("b", removed_at);
    catalog.Apply(Entry("b"));
    CHECK(gone_at() == removed_at + kMaxRemovalDelay);
  }
  SUBCASE("and one that leaves does not count as registered") {
    catalog.Apply(Leaving("b"));
    catalog.Remove("a", removed_at);
    CHECK(gone_at() == std::nullopt);
  }
}

// Guards against new work for upstreams that left: the store returned from a
// copy of some seconds ago, which shows them as ready again, and the catalog
// remembered only what they had announced themselves.
TEST_CASE("the store returns from a copy that shows an upstream as ready") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint left{Duration(10'000)};
  const auto returned = left + Duration(3'000);
  const auto listed = returned + Duration(300);
  const auto gets_work = [&](const std::string& id) {
    const auto* entry = catalog.Find(id);
    return entry != nullptr && !entry->leaving;
  };
  catalog.ApplyAll({Entry("a", 100), Entry("b", 100)}, TimePoint{Duration(1)});

  SUBCASE("that was marked as leaving") {
    catalog.Apply(Leaving("a", 100));
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100), Entry("b", 100)}, listed);
    CHECK_FALSE(gets_work("a"));
    CHECK(gets_work("b"));
  }
  SUBCASE("that was marked as leaving, and then removed") {
    catalog.Apply(Leaving("a", 100));
    catalog.Remove("a", left);
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100), Entry("b", 100)}, listed);
    CHECK_FALSE(gets_work("a"));
    SUBCASE("also when the store shows a change of it") {
      catalog.Apply(Entry("a", 100));
      CHECK_FALSE(gets_work("a"));
    }
    SUBCASE("but not its next instance") {
      catalog.Apply(Entry("a", 200));
      CHECK(gets_work("a"));
    }
  }
  SUBCASE("that was removed") {
    catalog.Remove("a", left);
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100), Entry("b", 100)}, listed);
    CHECK_FALSE(gets_work("a"));
    SUBCASE("nor when it lists again") {
      catalog.ApplyAll({Entry("a", 100), Entry("b", 100)},
                       listed + Duration(100));
      CHECK_FALSE(gets_work("a"));
    }
    SUBCASE("until it registers again, having lapsed only") {
      catalog.Apply(Entry("a", 100));
      CHECK(gets_work("a"));
    }
  }
  SUBCASE("that was removed, in a list that comes late") {
    catalog.Remove("a", left);
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100)}, returned + Duration(9'000));
    CHECK_FALSE(gets_work("a"));
  }
  SUBCASE("that was restarted, as the instance before") {
    catalog.Apply(Entry("a", 200));
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100), Entry("b", 100)}, listed);
    REQUIRE(gets_work("a"));
    CHECK(catalog.Find("a")->born_ms == 200);
    SUBCASE("until the time for registering again has passed") {
      catalog.ApplyDueRemovals(returned + kReregistrationTime);
      CHECK(catalog.Find("a") == nullptr);
    }
    SUBCASE("and registers again") {
      catalog.Apply(Entry("a", 200));
      catalog.ApplyDueRemovals(returned + kReregistrationTime);
      CHECK(gets_work("a"));
    }
  }
  SUBCASE("that was restarted and then removed, as the instance before") {
    catalog.Apply(Entry("a", 200));
    catalog.Remove("a", left);
    catalog.OnStoreReturn(returned);
    catalog.ApplyAll({Entry("a", 100)}, listed);
    CHECK_FALSE(gets_work("a"));
  }
}

// Guards against requests refused for want of upstreams that work: those whose
// entries are newer than the copy were dropped at once.
TEST_CASE("the store returns from a copy that lacks an upstream") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint returned{Duration(10'000)};
  catalog.ApplyAll({Entry("a"), Entry("b")}, TimePoint{Duration(1)});
  catalog.OnStoreReturn(returned);
  catalog.ApplyAll({Entry("b")}, returned + Duration(300));
  REQUIRE(catalog.Find("a") != nullptr);
  CHECK(catalog.NextRemoval() == returned + kReregistrationTime);
  SUBCASE("which registers again in time") {
    catalog.Apply(Entry("a"));
    catalog.ApplyDueRemovals(returned + kReregistrationTime);
    CHECK(catalog.Find("a") != nullptr);
  }
  SUBCASE("which does not") {
    catalog.ApplyDueRemovals(returned + kReregistrationTime);
    CHECK(catalog.Find("a") == nullptr);
    SUBCASE("but later") {
      catalog.Apply(Entry("a"));
      CHECK(catalog.Find("a") != nullptr);
    }
  }
}

// Guards against an entry that a returned store has lost being dropped because
// of the rules for a return on days without one.
TEST_CASE("without a return of the store") {
  UpstreamCatalog catalog(kReregistrationTime, kMaxRemovalDelay);
  const TimePoint now{Duration(10'000)};
  catalog.Apply(Entry("a", 100));
  SUBCASE("an upstream that lapsed is listed again") {
    catalog.Remove("a", now);
    catalog.ApplyAll({Entry("a", 100)}, now + Duration(100));
    REQUIRE(catalog.Find("a") != nullptr);
    CHECK_FALSE(catalog.Find("a")->leaving);
  }
  SUBCASE("an instance with an earlier clock replaces the one before") {
    catalog.ApplyAll({Entry("a", 90)}, now);
    CHECK(catalog.Find("a")->born_ms == 90);
  }
}

}  // namespace firmoor
