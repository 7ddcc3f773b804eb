#include "resumption/version_decision.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstddef>
#include <set>
#include <string>

namespace firmoor {
namespace {

const VersionDecision kUnknown{};

/// A daemon that has seen one version all the time.
VersionView OneVersion() { return {{"one"}, {"one"}, true, Duration(0)}; }

/// A daemon that has seen a release since the stream may have begun.
VersionView DuringRelease() {
  return {{"one", "two"}, {"one"}, true, Duration(0)};
}

LookupResult Misses(std::size_t count) {
  LookupResult lookup;
  lookup.asked = 6;
  lookup.replied = count;
  lookup.confident_misses = count;
  return lookup;
}

LookupResult Found(const std::set<std::string>& versions) {
  auto lookup = Misses(0);
  lookup.replied = 1;
  lookup.versions = versions;
  return lookup;
}

std::set<std::string> AnyVersions() {
  std::set<std::string> versions;
  for (const auto* version : {"one", "two", "three"}) {
    if (*rc::gen::weightedElement<bool>({{2, false}, {1, true}})) {
      versions.insert(version);
    }
  }
  return versions;
}

}  // namespace

TEST_CASE("a stream with a record goes on at the version of the record") {
  SUBCASE("whatever the daemon sees") {
    const VersionDecision expected{VersionSource::kRecord, "two"};
    CHECK(DecideStreamVersion({}, Found({"two"})) == expected);
    CHECK(DecideStreamVersion(OneVersion(), Found({"two"})) == expected);
    CHECK(DecideStreamVersion(DuringRelease(), Found({"two"})) == expected);
  }
  SUBCASE("unless two records contradict each other") {
    CHECK(DecideStreamVersion(OneVersion(), Found({"one", "two"})) == kUnknown);
  }
  SUBCASE("unless one daemon holds contradicting records") {
    auto lookup = Found({"one"});
    lookup.is_ambiguous = true;
    CHECK(DecideStreamVersion(OneVersion(), lookup) == kUnknown);
  }
}

TEST_CASE("a stream without a record goes on at the only version") {
  const VersionDecision expected{VersionSource::kOnlyVersion, "one"};
  auto view = OneVersion();
  auto lookup = Misses(1);

  SUBCASE("that the daemon has seen all the time") {
    CHECK(DecideStreamVersion(view, lookup) == expected);
  }
  SUBCASE("also when it is alone") {
    CHECK(DecideStreamVersion(view, LookupResult{}) == expected);
  }
  // Guards against a stream that goes on at the old version at a daemon whose
  // list lags, while all that know better are lost.
  SUBCASE("but not while none of the daemons replies that it asks") {
    CHECK(DecideStreamVersion(view, Misses(0)) == kUnknown);
  }
  SUBCASE("also when those that reply could not have the record") {
    lookup = Misses(0);
    lookup.replied = 1;
    CHECK(DecideStreamVersion(view, lookup) == expected);
  }
  SUBCASE("with a list that is old") {
    view.catalog_age = Duration(2'500);
    lookup = Misses(0);
    lookup.replied = 1;
    CHECK(DecideStreamVersion(view, lookup) == expected);
    view.catalog_age = Duration(2'501);
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    // Others without the record may have old lists as well.
    lookup = Misses(1);
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.only_versions = {"one"};
    CHECK(DecideStreamVersion(view, lookup) == expected);
  }
  SUBCASE("unless another daemon has seen another one only") {
    lookup.only_versions = {"two"};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.only_versions = {"one", "two"};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.only_versions = {"one"};
    CHECK(DecideStreamVersion(view, lookup) == expected);
  }
  SUBCASE("that others have seen while this daemon has just started") {
    view.is_complete = false;
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.only_versions = {"one"};
    CHECK(DecideStreamVersion(view, lookup) == expected);
    lookup.confident_misses = 0;
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
  }
  SUBCASE("of which none is listed: not at all") {
    CHECK(DecideStreamVersion({}, Misses(4)) == kUnknown);
  }
}

TEST_CASE("a stream without a record began before the release") {
  const VersionDecision expected{VersionSource::kBeforeRelease, "one"};
  auto view = DuringRelease();
  auto lookup = Misses(2);

  SUBCASE("if two daemons would know otherwise") {
    CHECK(DecideStreamVersion(view, lookup) == expected);
    CHECK(DecideStreamVersion(view, Misses(1)) == kUnknown);
  }
  SUBCASE("unless two versions were listed at that time") {
    view.earlier = {"one", "two"};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    view.earlier = {};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
  }
  SUBCASE("unless others saw another version at that time") {
    lookup.earlier_versions = {"two"};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.earlier_versions = {"one", "two"};
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.earlier_versions = {"one"};
    CHECK(DecideStreamVersion(view, lookup) == expected);
  }
  SUBCASE("as others have seen while this daemon has just started") {
    view.is_complete = false;
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
    lookup.earlier_versions = {"one"};
    CHECK(DecideStreamVersion(view, lookup) == expected);
    lookup.confident_misses = 1;
    CHECK(DecideStreamVersion(view, lookup) == kUnknown);
  }
  // Guards against a stream that goes on at the old version at a daemon whose
  // list lags behind a release that others have seen.
  SUBCASE("that only others have seen so far") {
    lookup.others_see_several = true;
    CHECK(DecideStreamVersion(OneVersion(), lookup) == expected);
    lookup.confident_misses = 1;
    CHECK(DecideStreamVersion(OneVersion(), lookup) == kUnknown);
  }
}

TEST_CASE("a daemon tells others which versions it has seen") {
  CHECK(OnlyVersion(OneVersion()) == "one");
  CHECK(EarlierVersion(OneVersion()) == "one");
  CHECK(OnlyVersion(DuringRelease()).empty());
  CHECK(EarlierVersion(DuringRelease()) == "one");
  auto view = OneVersion();

  SUBCASE("not when it has just started") {
    view.is_complete = false;
    CHECK(OnlyVersion(view).empty());
    CHECK(EarlierVersion(view).empty());
  }
  SUBCASE("not when its list is old") {
    view.catalog_age = Duration(2'500);
    CHECK(OnlyVersion(view) == "one");
    view.catalog_age = Duration(2'501);
    CHECK(OnlyVersion(view).empty());
  }
  SUBCASE("not when there were several") {
    view.earlier = {"one", "two"};
    CHECK(EarlierVersion(view).empty());
  }
}

TEST_CASE("the view on a service is taken at the start of the stream") {
  VersionHistory history;
  const TimePoint start{Duration(1'000'000)};
  history.Update({"one"}, start);
  history.Update({"one", "two"}, start + Duration(10'000));
  const auto now = start + Duration(30'000);
  CHECK(MakeVersionView(history, Duration(25'000), Duration(7), now) ==
        VersionView{{"one", "two"}, {"one"}, true, Duration(7)});
  CHECK(MakeVersionView(history, Duration(15'000), Duration(7), now) ==
        VersionView{{"one", "two"}, {"one", "two"}, true, Duration(7)});
  CHECK_FALSE(
      MakeVersionView(history, Duration(30'001), Duration(0), now).is_complete);
}

TEST_CASE("each source has a name") {
  CHECK(NameOf(VersionSource::kRecord) == "record");
  CHECK(NameOf(VersionSource::kOnlyVersion) == "only-version");
  CHECK(NameOf(VersionSource::kBeforeRelease) == "before-release");
  CHECK(NameOf(VersionSource::kUnknown) == "unknown");
}

TEST_CASE("any view and any replies") {
  CHECK(rc::check("lead to a version that all of them allow", [] {
    const VersionView view{AnyVersions(), AnyVersions(),
                           *rc::gen::arbitrary<bool>(),
                           Duration(*rc::gen::inRange(0, 5'000))};
    LookupResult lookup;
    lookup.versions = AnyVersions();
    lookup.is_ambiguous = *rc::gen::arbitrary<bool>();
    lookup.asked = *rc::gen::inRange<std::size_t>(0, 7);
    lookup.replied = *rc::gen::inRange<std::size_t>(0, lookup.asked + 1);
    lookup.confident_misses =
        *rc::gen::inRange<std::size_t>(0, lookup.replied + 1);
    lookup.others_see_several = *rc::gen::arbitrary<bool>();
    lookup.only_versions = AnyVersions();
    lookup.earlier_versions = AnyVersions();
    const auto decision = DecideStreamVersion(view, lookup);
    if (decision.source == VersionSource::kUnknown) {
      RC_ASSERT(decision.version.empty());
      return;
    }
    RC_ASSERT(!lookup.is_ambiguous);
    if (decision.source == VersionSource::kRecord) {
      RC_ASSERT(lookup.versions == std::set{decision.version});
      return;
    }
    RC_ASSERT(lookup.versions.empty());
    const auto& claims = decision.source == VersionSource::kOnlyVersion
                             ? lookup.only_versions
                             : lookup.earlier_versions;
    RC_ASSERT(claims.empty() || claims == std::set{decision.version});
  }));
}

}  // namespace firmoor
