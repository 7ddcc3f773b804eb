#include "routing/upstream_catalog.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

constexpr Duration kReregistrationTime{2'000};

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
  UpstreamCatalog catalog(kReregistrationTime);
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
  UpstreamCatalog catalog(kReregistrationTime);
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
  UpstreamCatalog catalog(kReregistrationTime);
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

}  // namespace firmoor
