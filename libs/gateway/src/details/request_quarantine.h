#ifndef FIRMOOR_GATEWAY_DETAILS_REQUEST_QUARANTINE_H_
#define FIRMOOR_GATEWAY_DETAILS_REQUEST_QUARANTINE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "quarantine/crash_monitor.h"
#include "routing/upstream_catalog.h"

namespace firmoor::details {

/// Connects the daemon's crash monitor to the network and the log: probes
/// upstreams whose connections broke, and reports early what the coordinator
/// should hear soon. Not thread-safe; runs in the event loop.
class RequestQuarantine {
 public:
  /// `request_report` asks for an early report to the coordinator.
  RequestQuarantine(EventLog* log, std::function<void()> request_report);

  /// A connection to `upstream` broke while it had a request.
  void OnBroken(const UpstreamEntry& upstream,
                const CrashMonitor::Break& broken);
  void OnResponse(const UpstreamEntry& upstream);
  /// A request with these suspects got a complete response.
  void OnCompleted(const std::vector<Suspect>& suspects);
  /// The verdict that rejects `request`; null if there is none.
  const Verdict* Reject(const std::string& request,
                        const std::vector<Suspect>& suspects);
  /// Whether a verdict is about a request with these suspects.
  [[nodiscard]] bool HasVerdict(const std::vector<Suspect>& suspects) const;
  [[nodiscard]] bool IsSuspected(const std::vector<Suspect>& suspects) const {
    return monitor_.IsSuspected(suspects);
  }

  QuarantineReport Report();
  /// Applies the reply to the last report.
  void Apply(const QuarantineReply& reply);
  [[nodiscard]] const std::vector<Verdict>& verdicts() const {
    return monitor_.verdicts();
  }
  /// Returns false if no verdict is about what has this hash.
  bool Lift(const std::string& hash);
  /// Counters in the Prometheus text format.
  [[nodiscard]] std::string MetricsText() const;

 private:
  void OnProbed(const UpstreamEntry& upstream, ProbeResult result,
                std::size_t suspects);
  void JudgeAlone();
  void ReportEarlyIfNeeded();
  /// `source`: who passed or removed the verdicts.
  void LogChanges(const CrashMonitor::Changes& changes,
                  const char* source) const;
  /// What is newly suspected, in one line.
  void LogSuspected(const char* source);
  void LogVerdict(const Verdict& verdict, const char* change,
                  const char* source) const;

  EventLog* log_;
  std::function<void()> request_report_;
  CrashMonitor monitor_;
  std::uint64_t crashes_ = 0;
  std::uint64_t rejected_ = 0;
  QObject event_context_;  ///< Context of timers and probes.
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_REQUEST_QUARANTINE_H_
