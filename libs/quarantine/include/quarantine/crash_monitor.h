#ifndef FIRMOOR_QUARANTINE_CRASH_MONITOR_H_
#define FIRMOOR_QUARANTINE_CRASH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_correlator.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/verdict_list.h"

namespace firmoor {

/// Result of a connection attempt to an upstream whose connection broke.
enum class ProbeResult {
  kRefused,    ///< No process listens: it has crashed.
  kConnected,  ///< It runs, so only the connection broke.
  kUnknown,    ///< No answer: it or the path to it may be at fault.
};

/// "refused", "connected" or "unknown", for logs.
std::string_view NameOf(ProbeResult result);

/// One daemon's part of the quarantine: collects which requests an upstream was
/// running when it crashed and which requests completed, exchanges both with
/// the coordinator, and knows the verdicts. Without a coordinator it passes
/// verdicts by what it has seen itself. Performs no I/O.
class CrashMonitor {
 public:
  /// A connection that broke while the upstream had a request.
  struct Break {
    UpstreamRun run;
    TimePoint begun_at;  ///< The upstream began to run the request.
    std::vector<Suspect> suspects;
    /// The response ended with its connection, so it may also be complete.
    bool may_be_complete = false;
  };
  /// Changes of the verdicts in force.
  struct Changes {
    std::vector<Verdict> added;
    std::vector<Verdict> removed;
  };

  CrashMonitor();

  /// Returns whether the upstream is to be probed, since this is the first
  /// break of its run.
  bool OnBroken(const Break& broken, TimePoint now);
  /// Returns whether the upstream has crashed.
  bool OnProbed(const UpstreamRun& run, ProbeResult result, TimePoint now);
  /// The upstream responded.
  void OnResponse(const UpstreamRun& run, TimePoint now);
  /// A request with these suspects got a complete response.
  void OnCompleted(const std::vector<Suspect>& suspects, TimePoint now);

  /// The verdict that rejects the request with this id and these suspects; null
  /// if there is none. The first request uses up a trial. Records the rejection
  /// for the report.
  const Verdict* Reject(const std::string& request,
                        const std::vector<Suspect>& suspects, TimePoint now);
  /// Whether so many upstreams have crashed under one of the suspects that the
  /// request is not sent to another one after a failure.
  [[nodiscard]] bool IsSuspected(const std::vector<Suspect>& suspects) const;

  /// Whether the coordinator should hear something before the next report.
  [[nodiscard]] bool NeedsEarlyReport() const { return needs_early_report_; }
  QuarantineReport Report(TimePoint now);
  /// Applies the reply to the last report.
  Changes OnReply(const QuarantineReply& reply, TimePoint now);
  /// Passes verdicts by itself while no coordinator replies.
  Changes JudgeAlone(TimePoint now);
  /// Releases the suspect, by order of an operator.
  Changes Lift(const Suspect& suspect, TimePoint now);

  [[nodiscard]] const std::vector<Verdict>& verdicts() const {
    return verdicts_;
  }
  /// What is newly suspected since the last call, without a verdict so far: by
  /// the coordinator, or by this daemon's evidence while there is none.
  std::vector<Suspect> TakeSuspected();
  /// The most successive crashes that this daemon has seen under one of them.
  [[nodiscard]] std::size_t CrashesSeen(
      const std::vector<Suspect>& suspects) const;
  [[nodiscard]] std::size_t suspect_count() const { return watched_.size(); }

 private:
  /// A run of an upstream whose connections broke.
  struct Crash {
    TimePoint at;
    std::map<Suspect, TimePoint> suspects;  ///< Start of the latest request.
    std::vector<std::vector<Suspect>> maybe_completed;
    bool is_confirmed = false;
    bool is_in_report = false;   ///< Unchanged since the last report.
    std::int64_t sent_term = 0;  ///< Coordinator that has got it.
  };
  /// Permission to send one request under a verdict.
  struct Trial {
    TimePoint until;
    std::string request;  ///< That has used it; empty: none.
  };
  /// Last completed request of each recent suspect (LRU).
  struct Completion {
    TimePoint at;
    std::list<Suspect>::iterator position;
  };

  /// Whether this request may be sent to find out whether a verdict holds. The
  /// first one that asks is the one.
  bool UseTrial(const Suspect& first_member, const std::string& request,
                TimePoint now);
  [[nodiscard]] CrashReport MakeCrashReport(const UpstreamRun& run,
                                            const Crash& crash,
                                            TimePoint now) const;
  /// Replaces the verdicts, and returns the differences.
  Changes SetVerdicts(std::vector<Verdict> verdicts);
  /// Notes those of `watched` that are not in `before` and under no verdict.
  void NoteSuspected(const std::set<Suspect>& watched,
                     const std::set<Suspect>& before);
  void RemoveOld(TimePoint now);

  std::map<UpstreamRun, Crash> crashes_;
  std::map<UpstreamRun, TimePoint> responses_;  ///< Last one of each run.
  std::list<Suspect> completion_order_;         ///< Most recent first.
  std::map<Suspect, Completion> completions_;
  CrashCorrelator own_evidence_;
  std::set<Suspect> watched_;      ///< By order of the coordinator.
  std::set<Suspect> own_watched_;  ///< By own evidence.
  std::vector<Suspect> suspected_;
  std::map<UpstreamRun, TimePoint> in_doubt_;  ///< Time of the supposed crash.
  std::vector<Verdict> verdicts_;
  std::set<Suspect> lifted_;  ///< Not yet known to the coordinator.
  std::set<Suspect> lifted_in_report_;
  std::set<Suspect> rejected_;
  std::map<Suspect, Trial> trials_;  ///< By first member.
  std::int64_t term_ = 0;
  TimePoint coordinated_until_;
  bool needs_early_report_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_QUARANTINE_CRASH_MONITOR_H_
