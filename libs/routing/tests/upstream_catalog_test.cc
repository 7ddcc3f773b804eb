#include "routing/upstream_catalog.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

constexpr Duration kReturn{2'000};

UpstreamEntry Entry(std::string id, std::int64_t born = 1) {
  UpstreamEntry entry;
  entry.id = std::move(id);
  entry.born_ms = born;
  entry.service = "plain-service";
  entry.endpoint = {"10.0.0.1", 80};
  return entry;
}

UpstreamEntry Leaving(std::string id, std::int64_t born = 1) {
  auto entry = Entry(std::move(id), born);
  entry.leaving = true;
  return entry;
}

}  // namespace

TEST_CASE("an upstream that leaves") {
  UpstreamCatalog catalog(kReturn);
  catalog.Apply(Entry("a"));
  catalog.Apply(Leaving("a"));

  SUBCASE("does not come back in the same life") {
    catalog.Apply(Entry("a"));
    CHECK(catalog.Find("a")->leaving);
  }
  SUBCASE("comes back when it was started again under its id") {
    catalog.Apply(Entry("a", 2));
    CHECK_FALSE(catalog.Find("a")->leaving);
  }
}

TEST_CASE("an upstream says in an answer that it leaves") {
  UpstreamCatalog catalog(kReturn);
  const TimePoint now{Duration(10'000)};
  catalog.Apply(Entry("a"));
  CHECK(catalog.MarkLeaving("a", 1, now));
  CHECK(catalog.Find("a")->leaving);

  SUBCASE("which is news only once") {
    CHECK_FALSE(catalog.MarkLeaving("a", 1, now));
  }
  SUBCASE("and leaves whatever the store says of it") {
    catalog.Apply(Entry("a"));
    CHECK(catalog.Find("a")->leaving);
    SUBCASE("also when its entry was gone for a while") {
      catalog.Remove("a", now);
      REQUIRE(catalog.Find("a") == nullptr);
      catalog.Apply(Entry("a"));
      CHECK(catalog.Find("a")->leaving);
    }
  }
  SUBCASE("and its next life stays") {
    catalog.Apply(Entry("a", 2));
    CHECK_FALSE(catalog.Find("a")->leaving);
    SUBCASE("also when an answer of the former one comes late") {
      CHECK_FALSE(catalog.MarkLeaving("a", 1, now));
      CHECK_FALSE(catalog.Find("a")->leaving);
    }
  }
}

TEST_CASE("an entry is removed") {
  UpstreamCatalog catalog(kReturn);
  const TimePoint start{Duration(10'000)};
  catalog.Apply(Entry("a"));

  SUBCASE("at once while the store is well") {
    catalog.Remove("a", start);
    CHECK(catalog.Find("a") == nullptr);
  }
  SUBCASE("later when the store was away, since entries lapse meanwhile") {
    catalog.OnStoreOutage(start);
    catalog.Remove("a", start + Duration(100));
    catalog.ApplyDueRemovals(start + Duration(1'999));
    REQUIRE(catalog.Find("a") != nullptr);
    CHECK(catalog.NextRemoval() == start + kReturn);
    SUBCASE("and stays when it returned meanwhile") {
      catalog.Apply(Entry("a"));
      catalog.ApplyDueRemovals(start + kReturn);
      CHECK(catalog.Find("a") != nullptr);
    }
    SUBCASE("and goes when it did not return") {
      catalog.ApplyDueRemovals(start + kReturn);
      CHECK(catalog.Find("a") == nullptr);
    }
    SUBCASE("and waits on while the store stays away") {
      catalog.OnStoreOutage(start + Duration(1'000));
      catalog.ApplyDueRemovals(start + Duration(2'500));
      CHECK(catalog.Find("a") != nullptr);
      catalog.ApplyDueRemovals(start + Duration(3'000));
      CHECK(catalog.Find("a") == nullptr);
    }
  }
  SUBCASE("when a whole list does not have it") {
    catalog.Apply(Entry("b"));
    catalog.ApplyAll({Entry("b"), Entry("c")}, start);
    CHECK(catalog.Find("a") == nullptr);
    CHECK(catalog.all().size() == 2);
  }
}

}  // namespace firmoor
