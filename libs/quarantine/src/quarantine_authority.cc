#include "quarantine/quarantine_authority.h"

#include <algorithm>

namespace firmoor {
namespace {

// Daemons hear of a watched suspect with their next report, after a second at
// most, and answer with an early one.
constexpr Duration kClearance{1'500};

}  // namespace

QuarantineAuthority::QuarantineAuthority(std::int64_t term)
    : term_(term), correlator_(kClearance) {}

void QuarantineAuthority::Record(const QuarantineReport& report,
                                 TimePoint now) {
  for (const auto& suspect : report.lifted) {
    lifted_.insert(suspect);
    correlator_.AddCompleted(suspect, now);
    verdicts_.Clear(suspect);
  }
  if (report.term != term_) {
    for (const auto& verdict : report.verdicts) {
      const bool is_lifted = std::any_of(
          verdict.members.begin(), verdict.members.end(),
          [this](const auto& suspect) { return lifted_.contains(suspect); });
      if (!is_lifted) verdicts_.Add(verdict, now);
    }
  }
  for (const auto& crash : report.crashes) correlator_.AddCrash(crash, now);
  for (const auto& run : report.responsive) correlator_.Refute(run);
  for (const auto& [suspect, age] : report.completed) {
    correlator_.AddCompleted(suspect, now - age);
    verdicts_.ClearCompleted(suspect, now - age);
  }
  for (const auto& verdict : correlator_.FindGuilty(now)) {
    verdicts_.Add(verdict, now);
  }
}

QuarantineReply QuarantineAuthority::OnReport(const QuarantineReport& report,
                                              TimePoint now) {
  Record(report, now);
  QuarantineReply reply;
  reply.term = term_;
  reply.watched = correlator_.Watch(now);
  for (const auto& [run, crashed_at] : correlator_.InDoubt(now)) {
    reply.in_doubt.emplace(run, now - crashed_at);
  }
  reply.verdicts = verdicts_.All(now);
  for (const auto& verdict : reply.verdicts) {
    reply.watched.insert(verdict.members.begin(), verdict.members.end());
  }
  for (const auto& suspect : report.rejected) {
    if (verdicts_.TakeTrial(suspect, now)) reply.trials.insert(suspect);
  }
  return reply;
}

}  // namespace firmoor
