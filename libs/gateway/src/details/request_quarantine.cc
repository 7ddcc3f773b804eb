#include "details/request_quarantine.h"

#include <fmt/format.h>

#include <QPointer>
#include <QTimer>
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/text.h"
#include "http/connect_probe.h"

namespace firmoor::details {
namespace {

// A refusal takes a round trip, 40 ms between regions.
constexpr Duration kProbeTimeout{400};
// After a crash, time for sound requests to complete elsewhere before a daemon
// without a coordinator judges.
constexpr Duration kJudgeDelay{600};
// Bounds the length of a line of the log.
constexpr std::size_t kMaxLoggedHashes = 4;

UpstreamRun RunOf(const UpstreamEntry& upstream) {
  return {upstream.id, upstream.born_ms};
}

ProbeResult ResultOf(ConnectResult result) {
  switch (result) {
    case ConnectResult::kRefused:
      return ProbeResult::kRefused;
    case ConnectResult::kConnected:
      return ProbeResult::kConnected;
    case ConnectResult::kTimedOut:
      return ProbeResult::kUnknown;
  }
  return ProbeResult::kUnknown;
}

std::string HashesOf(const Verdict& verdict) {
  return HashList({verdict.members.begin(), verdict.members.end()});
}

}  // namespace

RequestQuarantine::RequestQuarantine(EventLog* log,
                                     std::function<void()> request_report)
    : log_(log), request_report_(std::move(request_report)) {}

void RequestQuarantine::OnBroken(const UpstreamEntry& upstream,
                                 const CrashMonitor::Break& broken) {
  const bool is_first = monitor_.OnBroken(broken, MonotonicNow());
  ReportEarlyIfNeeded();
  if (!is_first) return;
  ProbeConnect(upstream.endpoint, kProbeTimeout,
               [this, alive = QPointer<QObject>(&event_context_), upstream,
                suspects = broken.suspects.size()](ConnectResult result) {
                 if (alive) OnProbed(upstream, ResultOf(result), suspects);
               });
}

void RequestQuarantine::OnProbed(const UpstreamEntry& upstream,
                                 ProbeResult result, std::size_t suspects) {
  const bool has_crashed =
      monitor_.OnProbed(RunOf(upstream), result, MonotonicNow());
  log_->Write("upstream-broken",
              {{"upstream", Text(upstream.id)},
               {"service", Text(upstream.service)},
               {"born_ms", static_cast<qint64>(upstream.born_ms)},
               {"probe", Text(NameOf(result))},
               {"crashed", has_crashed},
               {"suspects", static_cast<qint64>(suspects)}});
  if (has_crashed) {
    ++crashes_;
    LogSuspected("own");
    QTimer::singleShot(kJudgeDelay, &event_context_, [this] { JudgeAlone(); });
  }
  ReportEarlyIfNeeded();
}

void RequestQuarantine::JudgeAlone() {
  LogChanges(monitor_.JudgeAlone(MonotonicNow()), "own");
}

void RequestQuarantine::OnResponse(const UpstreamEntry& upstream) {
  monitor_.OnResponse(RunOf(upstream), MonotonicNow());
}

void RequestQuarantine::OnCompleted(const std::vector<Suspect>& suspects) {
  monitor_.OnCompleted(suspects, MonotonicNow());
  ReportEarlyIfNeeded();
}

const Verdict* RequestQuarantine::Reject(const std::string& request,
                                         const std::vector<Suspect>& suspects) {
  const auto* verdict = monitor_.Reject(request, suspects, MonotonicNow());
  if (verdict == nullptr) return nullptr;
  ++rejected_;
  log_->Write("quarantine-refused",
              {{"request", Text(request)},
               {"kind", Text(NameOf(verdict->members.begin()->kind))},
               {"hash", Text(HashesOf(*verdict))},
               {"crashes", static_cast<qint64>(verdict->crashes)},
               {"age_ms", static_cast<qint64>(verdict->age.count())}});
  return verdict;
}

bool RequestQuarantine::HasVerdict(const std::vector<Suspect>& suspects) const {
  return std::any_of(
      verdicts().begin(), verdicts().end(), [&](const Verdict& verdict) {
        return std::includes(suspects.begin(), suspects.end(),
                             verdict.members.begin(), verdict.members.end());
      });
}

QuarantineReport RequestQuarantine::Report() {
  return monitor_.Report(MonotonicNow());
}

void RequestQuarantine::Apply(const QuarantineReply& reply) {
  LogChanges(monitor_.OnReply(reply, MonotonicNow()), "coordinator");
  LogSuspected("coordinator");
  ReportEarlyIfNeeded();
}

bool RequestQuarantine::Lift(const std::string& hash) {
  for (const auto& verdict : monitor_.verdicts()) {
    const auto found = std::find_if(
        verdict.members.begin(), verdict.members.end(),
        [&hash](const auto& suspect) { return suspect.hash == hash; });
    if (found == verdict.members.end()) continue;
    // A copy, since the verdict is removed.
    LogChanges(monitor_.Lift(Suspect(*found), MonotonicNow()), "operator");
    ReportEarlyIfNeeded();
    return true;
  }
  return false;
}

void RequestQuarantine::ReportEarlyIfNeeded() {
  if (monitor_.NeedsEarlyReport()) request_report_();
}

void RequestQuarantine::LogChanges(const CrashMonitor::Changes& changes,
                                   const char* source) const {
  for (const auto& verdict : changes.added) {
    LogVerdict(verdict, "passed", source);
  }
  for (const auto& verdict : changes.removed) {
    LogVerdict(verdict, "lifted", source);
  }
}

void RequestQuarantine::LogSuspected(const char* source) {
  auto suspects = monitor_.TakeSuspected();
  if (suspects.empty()) return;
  const auto count = suspects.size();
  const auto crashes = monitor_.CrashesSeen(suspects);
  if (count > kMaxLoggedHashes) suspects.resize(kMaxLoggedHashes);
  log_->Write("quarantine-suspected",
              {{"source", source},
               {"suspects", static_cast<qint64>(count)},
               {"hashes", Text(HashList(suspects))},
               {"crashes_seen", static_cast<qint64>(crashes)}});
}

void RequestQuarantine::LogVerdict(const Verdict& verdict, const char* change,
                                   const char* source) const {
  log_->Write("quarantine",
              {{"change", change},
               {"source", source},
               {"kind", Text(NameOf(verdict.members.begin()->kind))},
               {"hash", Text(HashesOf(verdict))},
               {"crashes", static_cast<qint64>(verdict.crashes)},
               {"upstreams",
                Text(fmt::format("{}", fmt::join(verdict.upstreams, ",")))},
               {"age_ms", static_cast<qint64>(verdict.age.count())}});
}

std::string RequestQuarantine::MetricsText() const {
  return fmt::format(
      "firmoor_quarantine_verdicts {}\n"
      "firmoor_quarantine_suspects {}\n"
      "firmoor_quarantine_refused_total {}\n"
      "firmoor_upstream_crashes_total {}\n",
      monitor_.verdicts().size(), monitor_.suspect_count(), rejected_,
      crashes_);
}

}  // namespace firmoor::details
