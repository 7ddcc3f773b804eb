#include "limits/announced_limits.h"

#include <algorithm>

namespace firmoor {

namespace {

// An upstream that still serves requests has announced its limit since.
constexpr Duration kRetention{600'000};

}  // namespace

std::string_view NameOf(LimitChange change) {
  constexpr std::string_view kNames[] = {"none", "learned", "changed",
                                         "withdrawn"};
  return kNames[static_cast<int>(change)];
}

LimitChange AnnouncedLimits::Apply(const std::string& id,
                                   const AnnouncedLimit& announced) {
  const auto found = limits_.find(id);
  if (found == limits_.end()) {
    if (!announced.rate_per_s) return LimitChange::kNone;
    limits_.emplace(id, announced);
    return LimitChange::kLearned;
  }
  auto& known = found->second;
  const bool is_outdated = announced.born_ms < known.born_ms ||
                           (announced.born_ms == known.born_ms &&
                            announced.announced_at < known.announced_at);
  if (is_outdated) return LimitChange::kNone;
  const bool had_limit =
      known.born_ms == announced.born_ms && known.rate_per_s.has_value();
  const auto rate_before = known.rate_per_s;
  known = announced;
  if (!announced.rate_per_s) {
    return had_limit ? LimitChange::kWithdrawn : LimitChange::kNone;
  }
  if (!had_limit) return LimitChange::kLearned;
  return rate_before == announced.rate_per_s ? LimitChange::kNone
                                             : LimitChange::kChanged;
}

const AnnouncedLimit* AnnouncedLimits::Find(const std::string& id,
                                            std::int64_t born_ms) const {
  const auto found = limits_.find(id);
  const bool in_force = found != limits_.end() &&
                        found->second.born_ms == born_ms &&
                        found->second.rate_per_s.has_value();
  return in_force ? &found->second : nullptr;
}

std::size_t AnnouncedLimits::InForceCount() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(),
      [](const auto& entry) { return entry.second.rate_per_s.has_value(); }));
}

std::vector<std::string> AnnouncedLimits::RemoveForgotten(TimePoint now) {
  std::vector<std::string> removed;
  std::erase_if(limits_, [&](const auto& entry) {
    const bool is_old = now - entry.second.announced_at > kRetention;
    if (is_old) removed.push_back(entry.first);
    return is_old;
  });
  return removed;
}

}  // namespace firmoor
