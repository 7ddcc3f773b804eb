#ifndef FIRMOOR_RESUMPTION_VERSION_DECISION_H_
#define FIRMOOR_RESUMPTION_VERSION_DECISION_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "resumption/version_history.h"

namespace firmoor {

/// What a daemon knows by itself about the versions of a service.
struct VersionView {
  std::set<std::string> recent;   ///< Listed since the stream may have begun.
  std::set<std::string> earlier;  ///< Listed when the stream may have begun.
  /// Whether `recent` and `earlier` are known for all of that time.
  bool is_complete = false;
  Duration catalog_age{0};  ///< Since the list of upstreams was confirmed.

  bool operator==(const VersionView&) const = default;
};

/// Whether a list of upstreams that was confirmed this long ago has news of
/// versions that have begun streams elsewhere.
bool IsUpToDate(Duration catalog_age);

/// The view on a service at `now` for a stream that began no earlier than
/// `horizon` ago.
VersionView MakeVersionView(const VersionHistory& history, Duration horizon,
                            Duration catalog_age, TimePoint now);

/// The only version that can have written a stream without a record, by the
/// view of one daemon alone; empty if there is no such version.
std::string OnlyVersion(const VersionView& view);

/// The only version that was listed when a stream may have begun, by the view
/// of one daemon alone; empty if it does not know or there were several.
std::string EarlierVersion(const VersionView& view);

/// Replies of the daemons that hold the record of a stream.
struct LookupResult {
  std::set<std::string> versions;  ///< In records, own ones included.
  bool is_ambiguous = false;       ///< Some daemon holds contradicting records.
  std::size_t asked = 0;
  std::size_t replied = 0;
  /// Replies without a record from daemons that have held its place for longer
  /// than the stream can have run.
  std::size_t confident_misses = 0;
  /// Some daemon has seen several versions of the service.
  bool others_see_several = false;
  /// `OnlyVersion` and `EarlierVersion` of the daemons that have a confident
  /// miss, without empty ones.
  std::set<std::string> only_versions;
  std::set<std::string> earlier_versions;

  bool operator==(const LookupResult&) const = default;
};

/// Where the version of a resumed stream is known from.
enum class VersionSource {
  kRecord,         ///< From the daemon that began the stream.
  kOnlyVersion,    ///< There has been only one since before it began.
  kBeforeRelease,  ///< It began before the others were released.
  kUnknown,        ///< It must not be resumed.
};

std::string_view NameOf(VersionSource source);

struct VersionDecision {
  VersionSource source = VersionSource::kUnknown;
  std::string version;

  bool operator==(const VersionDecision&) const = default;
};

/// Decides with which version a stream may be resumed that another daemon may
/// have begun. Pure.
VersionDecision DecideStreamVersion(const VersionView& view,
                                    const LookupResult& lookup);

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_VERSION_DECISION_H_
