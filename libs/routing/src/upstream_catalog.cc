#include "routing/upstream_catalog.h"

#include <algorithm>
#include <set>
#include <utility>

namespace firmoor {
namespace {

// A leaving upstream usually keeps serving for a few seconds, sometimes for
// much longer, but has always ended within this time.
constexpr Duration kDepartedRetention{120'000};

}  // namespace

UpstreamCatalog::UpstreamCatalog(Duration reregistration_time)
    : reregistration_time_(reregistration_time) {}

void UpstreamCatalog::ApplyAll(const std::vector<UpstreamEntry>& entries,
                               TimePoint now) {
  std::set<std::string> listed;
  for (const auto& entry : entries) {
    listed.insert(entry.id);
    Apply(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const auto& id : missing) Remove(id, now);
}

void UpstreamCatalog::Apply(const UpstreamEntry& entry) {
  pending_removals_.erase(entry.id);
  const auto found = entries_.find(entry.id);
  const bool same_instance =
      found != entries_.end() && found->second.born_ms == entry.born_ms;
  const bool was_leaving = same_instance && found->second.leaving;
  auto& stored = entries_[entry.id];
  stored = entry;
  const auto left = departed_.find(entry.id);
  const bool has_departed =
      left != departed_.end() && left->second.born_ms == entry.born_ms;
  stored.leaving = entry.leaving || was_leaving || has_departed;
}

void UpstreamCatalog::Remove(const std::string& id, TimePoint now) {
  if (!entries_.contains(id)) return;
  const bool may_return =
      last_outage_ && now - *last_outage_ < reregistration_time_;
  if (!may_return) {
    entries_.erase(id);
    pending_removals_.erase(id);
    return;
  }
  pending_removals_.try_emplace(id, *last_outage_ + reregistration_time_);
}

void UpstreamCatalog::OnStoreOutage(TimePoint now) {
  last_outage_ = now;
  for (auto& [id, due] : pending_removals_) {
    due = std::max(due, now + reregistration_time_);
  }
}

bool UpstreamCatalog::MarkLeaving(const std::string& id, std::int64_t born_ms,
                                  TimePoint now) {
  std::erase_if(departed_, [now](const auto& entry) {
    return now - entry.second.at > kDepartedRetention;
  });
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.born_ms != born_ms) return false;
  departed_[id] = {born_ms, now};
  return found != entries_.end() && !std::exchange(found->second.leaving, true);
}

void UpstreamCatalog::ApplyDueRemovals(TimePoint now) {
  for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    entries_.erase(it->first);
    it = pending_removals_.erase(it);
  }
}

std::optional<TimePoint> UpstreamCatalog::NextRemoval() const {
  std::optional<TimePoint> next;
  for (const auto& [id, due] : pending_removals_) {
    if (!next || due < *next) next = due;
  }
  return next;
}

const UpstreamEntry* UpstreamCatalog::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace firmoor
