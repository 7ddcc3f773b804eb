#ifndef FIRMOOR_QUARANTINE_VERDICT_LIST_H_
#define FIRMOOR_QUARANTINE_VERDICT_LIST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace firmoor {

/// The verdicts in force, for the daemon that passes them. Performs no I/O.
///
/// A verdict does not end by itself, since requests that are sent again all at
/// once would crash as many upstreams. From time to time single requests are
/// tried; one that completes ends the verdict.
class VerdictList {
 public:
  /// Adds a verdict, or replaces those that it is narrower than. Returns
  /// whether it is new.
  bool Add(const Verdict& verdict, TimePoint now);
  /// Releases the suspect: it is no longer a member of any verdict.
  void Clear(const Suspect& suspect);
  /// Releases the suspect if a request with it completed after the first crash.
  void ClearCompleted(const Suspect& suspect, TimePoint completed_at);
  /// Whether a request may be sent under the verdict with this first member.
  bool TakeTrial(const Suspect& first_member, TimePoint now);

  [[nodiscard]] std::vector<Verdict> All(TimePoint now) const;

 private:
  /// Releases the suspect from the verdicts whose first crash was before
  /// `completed_at`; from all if that is empty.
  void Release(const Suspect& suspect, std::optional<TimePoint> completed_at);

  struct State {
    Verdict verdict;
    TimePoint first_crash_at;
    TimePoint next_trial_at;
    std::size_t trials = 0;
  };

  std::map<std::set<Suspect>, State> verdicts_;  ///< By members.
};

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_VERDICT_LIST_H_
