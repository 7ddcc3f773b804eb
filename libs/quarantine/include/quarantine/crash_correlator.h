#ifndef FIRMOOR_QUARANTINE_CRASH_CORRELATOR_H_
#define FIRMOOR_QUARANTINE_CRASH_CORRELATOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace firmoor {

/// Finds what the requests that ran on crashed upstreams have in common.
///
/// A suspect is guilty when upstreams have crashed under it several times in
/// succession, without a complete response to any request with it in between.
/// Crashes count in succession if the upstream began to run the request after
/// the previous crash: upstreams that crash at the same moment, as when an
/// availability zone fails, count once. They do not count at all if others that
/// were not running the suspect crashed with them. A complete response clears
/// what its request held, since a guilty suspect crashes every upstream.
/// Performs no I/O.
class CrashCorrelator {
 public:
  /// Successive crashes that make a suspect guilty. Fewer may be chance: while
  /// a tenth of all requests end in crashes, sound chunks meet several in a
  /// row. One sound request is seldom sent more often than twice.
  static constexpr std::size_t GuiltyCrashes(SuspectKind kind) {
    return kind == SuspectKind::kRequest ? 3 : 4;
  }
  /// Successive crashes from which on daemons report completed requests.
  static constexpr std::size_t kWatchedCrashes = 2;
  /// Each crash adds the requests that ran on the upstream, a few hundred at
  /// most.
  static constexpr std::size_t kMaxSuspects = 8'192;

  /// `clearance`: time for which a suspect is watched before it can be found
  /// guilty, so that daemons can report completed requests.
  explicit CrashCorrelator(Duration clearance) : clearance_(clearance) {}

  /// Merges reports on the same run of an upstream.
  void AddCrash(const CrashReport& report, TimePoint now);
  /// A request with `suspect` got a complete response.
  void AddCompleted(const Suspect& suspect, TimePoint completed_at);
  /// The upstream responded after its supposed crash.
  void Refute(const UpstreamRun& run);

  /// Suspects with enough crashes to be watched, at most `kMaxWatched`.
  std::set<Suspect> Watch(TimePoint now);
  /// Runs whose recent crashes other daemons may refute.
  [[nodiscard]] std::map<UpstreamRun, TimePoint> InDoubt(TimePoint now) const;
  /// Guilty suspects. Those that were in exactly the same crashes are members
  /// of one verdict.
  [[nodiscard]] std::vector<Verdict> FindGuilty(TimePoint now);
  /// Successive crashes under `suspect` since its last complete response.
  [[nodiscard]] std::size_t SuccessiveCrashes(const Suspect& suspect) const;

 private:
  struct Crash {
    TimePoint begun_at;  ///< Start of the latest request with the suspect.
    TimePoint crashed_at;
  };
  struct Evidence {
    std::map<UpstreamRun, Crash> crashes;
    std::optional<TimePoint> completed_at;
    std::optional<TimePoint> watched_since;
    std::size_t successive = 0;  ///< As of the last `Recount`.
    bool is_changed = true;      ///< Since then.
  };
  using RunSet = std::set<UpstreamRun>;

  /// `explained`: runs that crashed under another, guilty suspect.
  [[nodiscard]] std::size_t CountSuccessive(const Evidence& evidence,
                                            const RunSet& explained) const;
  /// Whether the crash has a cause that other upstreams share, which were not
  /// running the suspect.
  [[nodiscard]] bool IsOutage(const Crash& crash,
                              const Evidence& evidence) const;
  /// Evidence of the guilty suspect with the most crashes that are not
  /// explained by another one; null if there is none.
  [[nodiscard]] const Evidence* FindGuiltiest(const RunSet& explained,
                                              TimePoint now) const;
  /// Suspects that were in exactly these crashes.
  [[nodiscard]] std::set<Suspect> SuspectsWithCrashesOf(
      const Evidence& evidence) const;
  [[nodiscard]] static Verdict MakeVerdict(const std::set<Suspect>& members,
                                           const Evidence& evidence,
                                           TimePoint now);
  /// Counts the successive crashes of all suspects again, after a change.
  void Recount();
  void RemoveExpired(TimePoint now);
  void RemoveCrash(const UpstreamRun& run);
  /// Removes the suspects with the fewest and oldest crashes.
  void RemoveLeastSuspected();

  Duration clearance_;
  std::map<Suspect, Evidence> evidence_;
  /// All crashes, also those without suspects, and the same by their time.
  std::map<UpstreamRun, TimePoint> crashes_;
  std::multimap<TimePoint, UpstreamRun> crash_times_;
  TimePoint expired_at_;
  bool is_changed_ = false;  ///< Any evidence since the last `Recount`.
};

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_CRASH_CORRELATOR_H_
