#ifndef FIRMOOR_QUARANTINE_QUARANTINE_MESSAGES_H_
#define FIRMOOR_QUARANTINE_QUARANTINE_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/suspect.h"

namespace firmoor {

/// One run of an upstream, from its start to its end.
struct UpstreamRun {
  std::string upstream;
  std::int64_t born_ms = 0;

  auto operator<=>(const UpstreamRun&) const = default;
};

/// Crash of an upstream, as one daemon saw it.
struct CrashReport {
  UpstreamRun run;
  Duration age{0};  ///< Since its connections broke.
  /// Suspects in the daemon's requests that the upstream was running: age of
  /// the start of the latest such request.
  std::map<Suspect, Duration> suspects;

  bool operator==(const CrashReport&) const = default;
};

/// Requests that hold all members crash upstreams, and are rejected.
struct Verdict {
  /// Usually one. More if they were together in every crash, so that any of
  /// them may be the cause.
  std::set<Suspect> members;
  Duration age{0};                     ///< Since the first of the crashes.
  std::int64_t crashes = 0;            ///< Seen before the verdict.
  std::vector<std::string> upstreams;  ///< Those that crashed, at most eight.

  bool operator==(const Verdict&) const = default;
};

/// Sent by each daemon to the coordinator.
struct QuarantineReport {
  std::int64_t term = 0;  ///< Coordinator of the last reply; 0: none.
  std::vector<CrashReport> crashes;  ///< Not yet sent to that coordinator.
  /// Watched suspects: age of the last complete response to a request with it.
  std::map<Suspect, Duration> completed;
  /// Runs in doubt that have responded after they were reported as crashed.
  std::set<UpstreamRun> responsive;
  std::vector<Verdict> verdicts;  ///< In force at the daemon.
  std::set<Suspect> lifted;       ///< Released by an operator.
  /// First members of the verdicts by which it has rejected requests.
  std::set<Suspect> rejected;

  bool operator==(const QuarantineReport&) const = default;
};

/// The coordinator's reply.
struct QuarantineReply {
  std::int64_t term = 0;      ///< Identifies the coordinator; 0: no reply.
  std::set<Suspect> watched;  ///< Report completed requests with these.
  /// Report those that have responded later than this age.
  std::map<UpstreamRun, Duration> in_doubt;
  std::vector<Verdict> verdicts;  ///< All that are in force.
  /// First members of verdicts under which this daemon may send one request,
  /// to find out whether they still hold.
  std::set<Suspect> trials;

  bool operator==(const QuarantineReply&) const = default;
};

/// Bound of the list of verdicts. A new one is not added beyond it, so that a
/// flood of suspects cannot displace a verdict.
constexpr std::size_t kMaxVerdicts = 64;

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_QUARANTINE_MESSAGES_H_
