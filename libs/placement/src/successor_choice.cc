#include "placement/successor_choice.h"

#include <algorithm>
#include <tuple>

namespace firmoor {
namespace {

// Daemons report once a second.
constexpr Duration kMaxSilence{1'500};
// A daemon that has just started has to read the configuration first, and may
// be one of those that end right after their start.
constexpr Duration kMinUptime{3'000};
// The coordinator of hundreds of daemons needs more than an eighth of a core.
constexpr double kMinCores = 0.5;

bool IsFit(const SuccessorCandidate& candidate) {
  return !candidate.is_draining && candidate.silent_for <= kMaxSilence &&
         candidate.uptime && *candidate.uptime >= kMinUptime;
}

}  // namespace

std::optional<std::string> ChooseSuccessor(
    const std::vector<SuccessorCandidate>& candidates) {
  const auto rank = [](const SuccessorCandidate& candidate) {
    return std::make_tuple(candidate.cores < kMinCores, *candidate.uptime,
                           candidate.daemon);
  };
  const SuccessorCandidate* best = nullptr;
  for (const auto& candidate : candidates) {
    if (!IsFit(candidate)) continue;
    if (best == nullptr || rank(candidate) < rank(*best)) best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  return best->daemon;
}

}  // namespace firmoor
