#include "quarantine/verdict_list.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

// Long enough for a new release of the service; the second trial comes later.
constexpr Duration kFirstTrialAfter{600'000};
constexpr int kTrialFactor = 6;
// Failed trials after which only an operator ends a verdict: each of them
// crashes an upstream.
constexpr std::size_t kMaxTrials = 2;

bool Includes(const std::set<Suspect>& wide, const std::set<Suspect>& narrow) {
  return std::includes(wide.begin(), wide.end(), narrow.begin(), narrow.end());
}

}  // namespace

bool VerdictList::Add(const Verdict& verdict, TimePoint now) {
  if (verdict.members.empty()) return false;
  for (const auto& [members, state] : verdicts_) {
    if (Includes(verdict.members, members)) return false;
  }
  std::erase_if(verdicts_, [&](const auto& entry) {
    return Includes(entry.first, verdict.members);
  });
  if (verdicts_.size() >= kMaxVerdicts) return false;
  State state{verdict, now - verdict.age, now + kFirstTrialAfter};
  verdicts_.emplace(verdict.members, std::move(state));
  return true;
}

void VerdictList::Clear(const Suspect& suspect) {
  Release(suspect, std::nullopt);
}

void VerdictList::ClearCompleted(const Suspect& suspect,
                                 TimePoint completed_at) {
  Release(suspect, completed_at);
}

void VerdictList::Release(const Suspect& suspect,
                          std::optional<TimePoint> completed_at) {
  std::vector<State> narrower;
  std::erase_if(verdicts_, [&](auto& entry) {
    const bool is_released =
        entry.first.contains(suspect) &&
        (!completed_at || *completed_at > entry.second.first_crash_at);
    if (!is_released) return false;
    auto state = std::move(entry.second);
    state.verdict.members.erase(suspect);
    if (!state.verdict.members.empty()) narrower.push_back(std::move(state));
    return true;
  });
  for (auto& state : narrower) {
    auto members = state.verdict.members;
    verdicts_.emplace(std::move(members), std::move(state));
  }
}

bool VerdictList::TakeTrial(const Suspect& first_member, TimePoint now) {
  for (auto& [members, state] : verdicts_) {
    if (*members.begin() != first_member) continue;
    if (now < state.next_trial_at || state.trials >= kMaxTrials) return false;
    ++state.trials;
    state.next_trial_at = now + kFirstTrialAfter * kTrialFactor;
    return true;
  }
  return false;
}

std::vector<Verdict> VerdictList::All(TimePoint now) const {
  std::vector<Verdict> all;
  for (const auto& [members, state] : verdicts_) {
    all.push_back(state.verdict);
    all.back().age = now - state.first_crash_at;
  }
  return all;
}

}  // namespace firmoor
