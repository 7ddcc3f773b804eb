#include "quarantine/crash_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace firmoor {
namespace {

// Crashes are kept for a new coordinator, which may take over seconds later.
constexpr Duration kCrashRetention{60'000};
constexpr std::size_t kMaxCrashes = 32;
// Bounds the report on one crash, to about 4 KB.
constexpr std::size_t kMaxSuspectsPerCrash = 96;
constexpr std::size_t kMaxMaybeCompleted = 64;
constexpr std::size_t kMaxCompletions = 4'096;
constexpr std::size_t kMaxResponses = 1'024;
// Responses that were sent before a crash may arrive after it was noticed.
constexpr Duration kLateResponse{200};
// Two missed replies: the coordinator counts as lost.
constexpr Duration kCoordinatorTimeout{2'500};
constexpr Duration kTrialLifetime{10'000};
// A daemon alone hears of no other completed requests, however long it waits.
constexpr Duration kOwnClearance{500};

bool IsSame(const Verdict& a, const Verdict& b) {
  return a.members == b.members;
}

}  // namespace

std::string_view NameOf(ProbeResult result) {
  constexpr std::string_view kNames[] = {"refused", "connected", "unknown"};
  return kNames[static_cast<int>(result)];
}

CrashMonitor::CrashMonitor() : own_evidence_(kOwnClearance) {}

bool CrashMonitor::OnBroken(const Break& broken, TimePoint now) {
  RemoveOld(now);
  const auto [found, is_first] = crashes_.try_emplace(broken.run);
  auto& crash = found->second;
  if (is_first) crash.at = now;
  // A request that began later was not running when the upstream crashed.
  if (broken.begun_at > crash.at) return false;
  if (broken.may_be_complete &&
      crash.maybe_completed.size() < kMaxMaybeCompleted) {
    crash.maybe_completed.push_back(broken.suspects);
  }
  for (const auto& suspect : broken.suspects) {
    if (crash.suspects.size() >= kMaxSuspectsPerCrash) break;
    auto& begun_at = crash.suspects[suspect];
    begun_at = std::max(begun_at, broken.begun_at);
  }
  crash.sent_term = 0;
  crash.is_in_report = false;
  if (crash.is_confirmed) needs_early_report_ = true;
  return is_first;
}

bool CrashMonitor::OnProbed(const UpstreamRun& run, ProbeResult result,
                            TimePoint now) {
  const auto found = crashes_.find(run);
  if (found == crashes_.end()) return false;
  if (result != ProbeResult::kRefused) {
    const auto crash = std::move(found->second);
    crashes_.erase(found);
    if (result == ProbeResult::kConnected) {
      for (const auto& suspects : crash.maybe_completed) {
        OnCompleted(suspects, now);
      }
    }
    return false;
  }
  found->second.is_confirmed = true;
  own_evidence_.AddCrash(MakeCrashReport(run, found->second, now), now);
  const auto watched_before =
      std::exchange(own_watched_, own_evidence_.Watch(now));
  if (now >= coordinated_until_) NoteSuspected(own_watched_, watched_before);
  needs_early_report_ = true;
  return true;
}

void CrashMonitor::OnResponse(const UpstreamRun& run, TimePoint now) {
  if (responses_.size() >= kMaxResponses && !responses_.contains(run)) {
    responses_.erase(std::min_element(
        responses_.begin(), responses_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  responses_[run] = now;
}

void CrashMonitor::OnCompleted(const std::vector<Suspect>& suspects,
                               TimePoint now) {
  for (const auto& suspect : suspects) {
    own_evidence_.AddCompleted(suspect, now);
    const auto found = completions_.find(suspect);
    if (found != completions_.end()) {
      found->second.at = now;
      completion_order_.splice(completion_order_.begin(), completion_order_,
                               found->second.position);
    } else {
      completion_order_.push_front(suspect);
      completions_.emplace(suspect, Completion{now, completion_order_.begin()});
    }
    if (watched_.contains(suspect)) needs_early_report_ = true;
  }
  while (completions_.size() > kMaxCompletions) {
    completions_.erase(completion_order_.back());
    completion_order_.pop_back();
  }
}

bool CrashMonitor::UseTrial(const Suspect& first_member,
                            const std::string& request, TimePoint now) {
  const auto found = trials_.find(first_member);
  if (found == trials_.end()) return false;
  auto& trial = found->second;
  if (now >= trial.until) {
    trials_.erase(found);
    return false;
  }
  if (trial.request.empty()) trial.request = request;
  return trial.request == request;
}

const Verdict* CrashMonitor::Reject(const std::string& request,
                                    const std::vector<Suspect>& suspects,
                                    TimePoint now) {
  for (const auto& verdict : verdicts_) {
    const bool holds_all =
        std::includes(suspects.begin(), suspects.end(), verdict.members.begin(),
                      verdict.members.end());
    if (!holds_all) continue;
    const auto& first = *verdict.members.begin();
    if (UseTrial(first, request, now)) continue;
    rejected_.insert(first);
    return &verdict;
  }
  return nullptr;
}

bool CrashMonitor::IsSuspected(const std::vector<Suspect>& suspects) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [this](const auto& suspect) {
                       return watched_.contains(suspect) ||
                              own_evidence_.SuccessiveCrashes(suspect) >=
                                  CrashCorrelator::kWatchedCrashes;
                     });
}

CrashReport CrashMonitor::MakeCrashReport(const UpstreamRun& run,
                                          const Crash& crash,
                                          TimePoint now) const {
  CrashReport report{run, now - crash.at, {}};
  for (const auto& [suspect, begun_at] : crash.suspects) {
    report.suspects.emplace(suspect, now - begun_at);
  }
  return report;
}

QuarantineReport CrashMonitor::Report(TimePoint now) {
  RemoveOld(now);
  needs_early_report_ = false;
  QuarantineReport report;
  report.term = term_;
  std::set<Suspect> asked = watched_;
  for (auto& [run, crash] : crashes_) {
    const bool is_sent = term_ != 0 && crash.sent_term == term_;
    if (!crash.is_confirmed || is_sent) continue;
    crash.is_in_report = true;
    report.crashes.push_back(MakeCrashReport(run, crash, now));
    for (const auto& [suspect, begun_at] : crash.suspects) {
      asked.insert(suspect);
    }
  }
  for (const auto& suspect : asked) {
    const auto found = completions_.find(suspect);
    if (found == completions_.end()) continue;
    report.completed.emplace(suspect, now - found->second.at);
  }
  for (const auto& [run, crashed_at] : in_doubt_) {
    const auto found = responses_.find(run);
    if (found != responses_.end() &&
        found->second > crashed_at + kLateResponse) {
      report.responsive.insert(run);
    }
  }
  report.verdicts = verdicts_;
  report.lifted = lifted_;
  lifted_in_report_ = lifted_;
  report.rejected = std::exchange(rejected_, {});
  return report;
}

CrashMonitor::Changes CrashMonitor::OnReply(const QuarantineReply& reply,
                                            TimePoint now) {
  // A coordinator of an earlier version knows no quarantine.
  if (reply.term == 0) return JudgeAlone(now);
  coordinated_until_ = now + kCoordinatorTimeout;
  if (term_ == reply.term) {
    for (auto& [run, crash] : crashes_) {
      if (crash.is_in_report) crash.sent_term = term_;
    }
    for (const auto& suspect : lifted_in_report_) lifted_.erase(suspect);
  } else {
    // The report was made for another coordinator, which may have lost it.
    needs_early_report_ = true;
  }
  term_ = reply.term;
  for (const auto& suspect : reply.watched) {
    const bool is_news =
        !watched_.contains(suspect) && completions_.contains(suspect);
    if (is_news) needs_early_report_ = true;
  }
  const auto watched_before = std::exchange(watched_, reply.watched);
  in_doubt_.clear();
  for (const auto& [run, age] : reply.in_doubt) {
    in_doubt_.emplace(run, now - age);
  }
  for (const auto& suspect : reply.trials) {
    trials_[suspect] = {now + kTrialLifetime, ""};
  }
  auto verdicts = reply.verdicts;
  std::erase_if(verdicts, [this](const auto& verdict) {
    return std::any_of(
        verdict.members.begin(), verdict.members.end(),
        [this](const auto& suspect) { return lifted_.contains(suspect); });
  });
  auto changes = SetVerdicts(std::move(verdicts));
  NoteSuspected(watched_, watched_before);
  return changes;
}

void CrashMonitor::NoteSuspected(const std::set<Suspect>& watched,
                                 const std::set<Suspect>& before) {
  const auto is_judged = [this](const Suspect& suspect) {
    return std::any_of(
        verdicts_.begin(), verdicts_.end(),
        [&](const auto& verdict) { return verdict.members.contains(suspect); });
  };
  suspected_.clear();
  for (const auto& suspect : watched) {
    const bool is_new = !before.contains(suspect) && !is_judged(suspect);
    if (is_new) suspected_.push_back(suspect);
  }
}

std::vector<Suspect> CrashMonitor::TakeSuspected() {
  return std::exchange(suspected_, {});
}

std::size_t CrashMonitor::CrashesSeen(
    const std::vector<Suspect>& suspects) const {
  std::size_t most = 0;
  for (const auto& suspect : suspects) {
    most = std::max(most, own_evidence_.SuccessiveCrashes(suspect));
  }
  return most;
}

CrashMonitor::Changes CrashMonitor::JudgeAlone(TimePoint now) {
  if (now < coordinated_until_) return {};
  watched_.clear();
  own_evidence_.Watch(now);
  auto verdicts = verdicts_;
  for (const auto& guilty : own_evidence_.FindGuilty(now)) {
    const bool is_known =
        std::any_of(verdicts.begin(), verdicts.end(), [&](const auto& known) {
          return std::includes(guilty.members.begin(), guilty.members.end(),
                               known.members.begin(), known.members.end());
        });
    if (!is_known && verdicts.size() < kMaxVerdicts) verdicts.push_back(guilty);
  }
  return SetVerdicts(std::move(verdicts));
}

CrashMonitor::Changes CrashMonitor::Lift(const Suspect& suspect,
                                         TimePoint now) {
  lifted_.insert(suspect);
  own_evidence_.AddCompleted(suspect, now);
  needs_early_report_ = true;
  auto verdicts = verdicts_;
  std::erase_if(verdicts, [&](const auto& verdict) {
    return verdict.members.contains(suspect);
  });
  return SetVerdicts(std::move(verdicts));
}

CrashMonitor::Changes CrashMonitor::SetVerdicts(std::vector<Verdict> verdicts) {
  const auto missing_in = [](const std::vector<Verdict>& list) {
    return [&list](const Verdict& verdict) {
      return std::none_of(list.begin(), list.end(), [&](const auto& other) {
        return IsSame(verdict, other);
      });
    };
  };
  Changes changes;
  std::copy_if(verdicts.begin(), verdicts.end(),
               std::back_inserter(changes.added), missing_in(verdicts_));
  std::copy_if(verdicts_.begin(), verdicts_.end(),
               std::back_inserter(changes.removed), missing_in(verdicts));
  verdicts_ = std::move(verdicts);
  return changes;
}

void CrashMonitor::RemoveOld(TimePoint now) {
  std::erase_if(crashes_, [now](const auto& entry) {
    return now - entry.second.at > kCrashRetention;
  });
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.at < b.second.at;
                                    }));
  }
}

}  // namespace firmoor
