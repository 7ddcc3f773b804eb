#include "resumption/version_decision.h"

#include <algorithm>

namespace firmoor {
namespace {

// Upstreams renew their entries about once a second, so a list without news for
// this long is not kept up to date, and may lack a version that has begun
// streams elsewhere.
constexpr Duration kMaxCatalogAge{2'500};
// Misses after which a record was probably never made, rather than lost: both
// would have to be unreachable for the daemon that began the stream.
constexpr std::size_t kMissesForNoRecord = 2;

bool AllEqual(const std::set<std::string>& versions,
              const std::string& version) {
  return std::all_of(versions.begin(), versions.end(),
                     [&](const auto& other) { return other == version; });
}

/// For a service of which only one version is known here.
VersionDecision DecideOnlyVersion(const VersionView& view,
                                  const LookupResult& lookup) {
  const auto& version = *view.recent.begin();
  // A list that lags shows one version only while others see two; a daemon that
  // reaches nobody could not notice.
  const bool is_fresh =
      IsUpToDate(view.catalog_age) && (lookup.replied > 0 || lookup.asked == 0);
  const bool knows_itself = view.is_complete && is_fresh;
  const bool heard_from_others =
      lookup.confident_misses > 0 && !lookup.only_versions.empty();
  const bool is_sure = (knows_itself || heard_from_others) &&
                       AllEqual(lookup.only_versions, version);
  if (!is_sure) return {};
  return {VersionSource::kOnlyVersion, version};
}

/// For a service of which several versions are known here or elsewhere.
VersionDecision DecideBeforeRelease(const VersionView& view,
                                    const LookupResult& lookup) {
  const auto& earlier =
      view.is_complete ? view.earlier : lookup.earlier_versions;
  const bool began_before = earlier.size() == 1 &&
                            lookup.confident_misses >= kMissesForNoRecord &&
                            AllEqual(lookup.earlier_versions, *earlier.begin());
  if (!began_before) return {};
  return {VersionSource::kBeforeRelease, *earlier.begin()};
}

VersionDecision DecideWithoutRecord(const VersionView& view,
                                    const LookupResult& lookup) {
  const bool is_only = view.recent.size() == 1 && !lookup.others_see_several;
  return is_only ? DecideOnlyVersion(view, lookup)
                 : DecideBeforeRelease(view, lookup);
}

}  // namespace

bool IsUpToDate(Duration catalog_age) { return catalog_age <= kMaxCatalogAge; }

VersionView MakeVersionView(const VersionHistory& history, Duration horizon,
                            Duration catalog_age, TimePoint now) {
  const auto since = now - horizon;
  return {history.ListedSince(since), history.ListedAt(since),
          history.Covers(since), catalog_age};
}

std::string OnlyVersion(const VersionView& view) {
  const bool is_only = view.is_complete && view.recent.size() == 1 &&
                       IsUpToDate(view.catalog_age);
  return is_only ? *view.recent.begin() : std::string();
}

std::string EarlierVersion(const VersionView& view) {
  const bool is_known = view.is_complete && view.earlier.size() == 1;
  return is_known ? *view.earlier.begin() : std::string();
}

std::string_view NameOf(VersionSource source) {
  constexpr std::string_view kNames[] = {"record", "only-version",
                                         "before-release", "unknown"};
  return kNames[static_cast<int>(source)];
}

VersionDecision DecideStreamVersion(const VersionView& view,
                                    const LookupResult& lookup) {
  if (lookup.is_ambiguous || lookup.versions.size() > 1) return {};
  if (lookup.versions.size() == 1) {
    return {VersionSource::kRecord, *lookup.versions.begin()};
  }
  return DecideWithoutRecord(view, lookup);
}

}  // namespace firmoor
