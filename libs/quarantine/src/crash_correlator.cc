#include "quarantine/crash_correlator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace firmoor {
namespace {

// Culprits that come rarely crash an upstream only every few minutes.
constexpr Duration kEvidenceLifetime{600'000};
// Latest crashes that are kept of one suspect.
constexpr std::size_t kMaxCrashes = 8;
constexpr std::size_t kMaxWatched = 32;
constexpr std::size_t kMaxInDoubt = 16;
// An upstream that is alive has responded to some daemon within this time.
constexpr Duration kDoubtTime{5'000};
// So many upstreams that crash within this time of each other have a common
// cause. Daemons notice a crash at slightly different times.
constexpr std::size_t kOutageSize = 3;
constexpr Duration kOutageSpread{50};
constexpr std::size_t kMaxRuns = 1'024;
constexpr Duration kExpiryPeriod{1'000};
// When there are too many suspects, this part of them is removed at once, since
// it takes a pass over all.
constexpr std::size_t kRemovedPart = 8;

}  // namespace

void CrashCorrelator::AddCrash(const CrashReport& report, TimePoint now) {
  RemoveExpired(now);
  const auto crashed_at = now - report.age;
  is_changed_ = true;
  if (crashes_.try_emplace(report.run, crashed_at).second) {
    crash_times_.emplace(crashed_at, report.run);
  }
  for (const auto& [suspect, age] : report.suspects) {
    auto& evidence = evidence_[suspect];
    if (evidence.completed_at && *evidence.completed_at > crashed_at) continue;
    evidence.is_changed = true;
    const auto begun_at = std::min(now - age, crashed_at);
    const auto [known, is_new] =
        evidence.crashes.try_emplace(report.run, Crash{begun_at, crashed_at});
    if (!is_new) {
      known->second.begun_at = std::max(known->second.begun_at, begun_at);
      known->second.crashed_at = std::min(known->second.crashed_at, crashed_at);
    }
    if (evidence.crashes.size() > kMaxCrashes) {
      evidence.crashes.erase(
          std::min_element(evidence.crashes.begin(), evidence.crashes.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.crashed_at < b.second.crashed_at;
                           }));
    }
  }
  if (evidence_.size() > kMaxSuspects) {
    Recount();
    RemoveLeastSuspected();
  }
}

void CrashCorrelator::AddCompleted(const Suspect& suspect,
                                   TimePoint completed_at) {
  const auto found = evidence_.find(suspect);
  if (found == evidence_.end()) return;
  auto& evidence = found->second;
  evidence.completed_at =
      std::max(completed_at, evidence.completed_at.value_or(completed_at));
  const auto cleared = std::erase_if(evidence.crashes, [&](const auto& crash) {
    return crash.second.crashed_at < *evidence.completed_at;
  });
  evidence.is_changed = evidence.is_changed || cleared > 0;
  is_changed_ = is_changed_ || cleared > 0;
  if (evidence.crashes.size() < kWatchedCrashes) evidence.watched_since.reset();
}

void CrashCorrelator::Refute(const UpstreamRun& run) {
  is_changed_ = true;
  RemoveCrash(run);
  for (auto& [suspect, evidence] : evidence_) {
    if (evidence.crashes.erase(run) > 0) evidence.is_changed = true;
  }
}

void CrashCorrelator::RemoveCrash(const UpstreamRun& run) {
  crashes_.erase(run);
  std::erase_if(crash_times_,
                [&run](const auto& crash) { return crash.second == run; });
}

void CrashCorrelator::RemoveExpired(TimePoint now) {
  if (now - expired_at_ < kExpiryPeriod) return;
  expired_at_ = now;
  is_changed_ = true;
  while (!crash_times_.empty()) {
    const auto& [at, run] = *crash_times_.begin();
    if (now - at <= kEvidenceLifetime && crash_times_.size() <= kMaxRuns) break;
    RemoveCrash(UpstreamRun(run));
  }
  for (auto& [suspect, evidence] : evidence_) {
    const auto expired =
        std::erase_if(evidence.crashes, [now](const auto& crash) {
          return now - crash.second.crashed_at > kEvidenceLifetime;
        });
    if (expired > 0) evidence.is_changed = true;
  }
  // A late report of an earlier crash is compared with the last completion.
  std::erase_if(evidence_, [now](const auto& entry) {
    const auto& evidence = entry.second;
    return evidence.crashes.empty() &&
           (!evidence.completed_at ||
            now - *evidence.completed_at > kDoubtTime);
  });
}

void CrashCorrelator::Recount() {
  if (!std::exchange(is_changed_, false)) return;
  for (auto& [suspect, evidence] : evidence_) {
    // A crash of other upstreams may turn an earlier one into an outage.
    const bool is_affected =
        std::exchange(evidence.is_changed, false) || evidence.successive > 1;
    if (is_affected) evidence.successive = CountSuccessive(evidence, {});
  }
}

void CrashCorrelator::RemoveLeastSuspected() {
  using Rank = std::tuple<std::size_t, TimePoint, Suspect>;
  std::vector<Rank> ranks;
  for (const auto& [suspect, evidence] : evidence_) {
    TimePoint latest;
    for (const auto& [run, crash] : evidence.crashes) {
      latest = std::max(latest, crash.crashed_at);
    }
    ranks.emplace_back(evidence.successive, latest, suspect);
  }
  const auto removed = static_cast<std::ptrdiff_t>(ranks.size() / kRemovedPart);
  std::nth_element(ranks.begin(), ranks.begin() + removed, ranks.end());
  for (auto rank = ranks.begin(); rank != ranks.begin() + removed; ++rank) {
    evidence_.erase(std::get<Suspect>(*rank));
  }
}

bool CrashCorrelator::IsOutage(const Crash& crash,
                               const Evidence& evidence) const {
  const auto others =
      std::count_if(crash_times_.lower_bound(crash.crashed_at - kOutageSpread),
                    crash_times_.upper_bound(crash.crashed_at + kOutageSpread),
                    [&](const auto& other) {
                      return !evidence.crashes.contains(other.second);
                    });
  return static_cast<std::size_t>(others) >= kOutageSize;
}

std::size_t CrashCorrelator::CountSuccessive(const Evidence& evidence,
                                             const RunSet& explained) const {
  std::vector<Crash> crashes;
  for (const auto& [run, crash] : evidence.crashes) {
    const bool counts = !explained.contains(run) && !IsOutage(crash, evidence);
    if (counts) crashes.push_back(crash);
  }
  std::sort(crashes.begin(), crashes.end(), [](const Crash& a, const Crash& b) {
    return a.crashed_at < b.crashed_at;
  });
  std::size_t count = 0;
  TimePoint last_crash;
  for (const auto& crash : crashes) {
    if (count > 0 && crash.begun_at <= last_crash) continue;
    ++count;
    last_crash = crash.crashed_at;
  }
  return count;
}

std::size_t CrashCorrelator::SuccessiveCrashes(const Suspect& suspect) const {
  const auto found = evidence_.find(suspect);
  return found == evidence_.end() ? 0 : CountSuccessive(found->second, {});
}

std::set<Suspect> CrashCorrelator::Watch(TimePoint now) {
  RemoveExpired(now);
  Recount();
  std::vector<std::pair<std::size_t, Suspect>> ranked;
  for (const auto& [suspect, evidence] : evidence_) {
    if (evidence.successive < kWatchedCrashes) continue;
    ranked.emplace_back(evidence.successive, suspect);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  if (ranked.size() > kMaxWatched) ranked.resize(kMaxWatched);
  std::set<Suspect> watched;
  for (auto& [crashes, suspect] : ranked) {
    auto& since = evidence_[suspect].watched_since;
    if (!since) since = now;
    watched.insert(std::move(suspect));
  }
  return watched;
}

std::map<UpstreamRun, TimePoint> CrashCorrelator::InDoubt(TimePoint now) const {
  std::map<UpstreamRun, TimePoint> runs;
  for (const auto& [suspect, evidence] : evidence_) {
    if (!evidence.watched_since) continue;
    for (const auto& [run, crash] : evidence.crashes) {
      if (now - crash.crashed_at > kDoubtTime) continue;
      if (runs.size() < kMaxInDoubt) runs.emplace(run, crash.crashed_at);
    }
  }
  return runs;
}

const CrashCorrelator::Evidence* CrashCorrelator::FindGuiltiest(
    const RunSet& explained, TimePoint now) const {
  const Evidence* guiltiest = nullptr;
  std::size_t most = 0;
  for (const auto& [suspect, evidence] : evidence_) {
    const bool may_be_guilty =
        evidence.watched_since && now - *evidence.watched_since >= clearance_ &&
        evidence.successive >= GuiltyCrashes(suspect.kind);
    if (!may_be_guilty) continue;
    const auto crashes = CountSuccessive(evidence, explained);
    if (crashes < GuiltyCrashes(suspect.kind) || crashes <= most) continue;
    guiltiest = &evidence;
    most = crashes;
  }
  return guiltiest;
}

std::set<Suspect> CrashCorrelator::SuspectsWithCrashesOf(
    const Evidence& evidence) const {
  const auto is_same_run = [](const auto& a, const auto& b) {
    return a.first == b.first;
  };
  std::set<Suspect> suspects;
  for (const auto& [suspect, other] : evidence_) {
    if (std::equal(other.crashes.begin(), other.crashes.end(),
                   evidence.crashes.begin(), evidence.crashes.end(),
                   is_same_run)) {
      suspects.insert(suspect);
    }
  }
  return suspects;
}

std::vector<Verdict> CrashCorrelator::FindGuilty(TimePoint now) {
  Recount();
  RunSet explained;
  std::vector<Verdict> verdicts;
  while (const auto* guiltiest = FindGuiltiest(explained, now)) {
    verdicts.push_back(
        MakeVerdict(SuspectsWithCrashesOf(*guiltiest), *guiltiest, now));
    for (const auto& [run, crash] : guiltiest->crashes) explained.insert(run);
  }
  return verdicts;
}

Verdict CrashCorrelator::MakeVerdict(const std::set<Suspect>& members,
                                     const Evidence& evidence, TimePoint now) {
  Verdict verdict;
  verdict.members = members;
  verdict.crashes = static_cast<std::int64_t>(evidence.crashes.size());
  for (const auto& [run, crash] : evidence.crashes) {
    verdict.upstreams.push_back(run.upstream);
    verdict.age = std::max(verdict.age, now - crash.crashed_at);
  }
  return verdict;
}

}  // namespace firmoor
