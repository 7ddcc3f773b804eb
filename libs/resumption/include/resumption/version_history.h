#ifndef FIRMOOR_RESUMPTION_VERSION_HISTORY_H_
#define FIRMOOR_RESUMPTION_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Software versions of one service's upstreams over time, as far as this
/// daemon has seen them listed. Does no I/O.
class VersionHistory {
 public:
  /// `listed`: the versions of the upstreams that are listed at `now`.
  void Update(const std::set<std::string>& listed, TimePoint now);

  /// Whether the history was observed without a gap since `since`.
  [[nodiscard]] bool Covers(TimePoint since) const;
  /// Versions that were listed at any time since `since`, also those that are
  /// not listed any more.
  [[nodiscard]] std::set<std::string> ListedSince(TimePoint since) const;
  /// Versions that were listed at `at`; empty if `at` is before the first
  /// update.
  [[nodiscard]] std::set<std::string> ListedAt(TimePoint at) const;
  /// Versions that have been listed without a gap from `since` until now.
  [[nodiscard]] std::set<std::string> ListedThroughout(TimePoint since) const;

 private:
  /// Time for which a version was listed without a gap.
  struct Span {
    TimePoint first;
    TimePoint last;
    bool is_listed = true;  ///< Until now; `last` is then too early.
  };

  std::optional<TimePoint> observed_since_;
  /// By version, the earliest first; each version has at least one.
  std::map<std::string, std::vector<Span>> spans_;
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_VERSION_HISTORY_H_
