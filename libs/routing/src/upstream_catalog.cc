#include "routing/upstream_catalog.h"

#include <algorithm>
#include <set>
#include <utility>

namespace firmoor {
namespace {

// An upstream that left has ended long before this: it serves for some seconds
// more, at times for many.
constexpr Duration kRemembersLeft{120'000};

}  // namespace

UpstreamCatalog::UpstreamCatalog(Duration reregistration_time)
    : return_time_(reregistration_time) {}

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
  removals_.erase(entry.id);
  const auto found = entries_.find(entry.id);
  const bool same_life =
      found != entries_.end() && found->second.born_ms == entry.born_ms;
  const bool was_leaving = same_life && found->second.leaving;
  auto& held = entries_[entry.id];
  held = entry;
  const auto left = left_.find(entry.id);
  const bool has_left =
      left != left_.end() && left->second.born_ms == entry.born_ms;
  held.leaving = entry.leaving || was_leaving || has_left;
}

void UpstreamCatalog::Remove(const std::string& id, TimePoint now) {
  if (!entries_.contains(id)) return;
  const bool may_return = outage_ && now - *outage_ < return_time_;
  if (!may_return) {
    entries_.erase(id);
    removals_.erase(id);
    return;
  }
  removals_.try_emplace(id, *outage_ + return_time_);
}

void UpstreamCatalog::OnStoreOutage(TimePoint now) {
  outage_ = now;
  for (auto& [id, due] : removals_) due = std::max(due, now + return_time_);
}

bool UpstreamCatalog::MarkLeaving(const std::string& id, std::int64_t born_ms,
                                  TimePoint now) {
  std::erase_if(left_, [now](const auto& entry) {
    return now - entry.second.at > kRemembersLeft;
  });
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.born_ms != born_ms) return false;
  left_[id] = {born_ms, now};
  return found != entries_.end() && !std::exchange(found->second.leaving, true);
}

void UpstreamCatalog::ApplyDueRemovals(TimePoint now) {
  for (auto it = removals_.begin(); it != removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    entries_.erase(it->first);
    it = removals_.erase(it);
  }
}

std::optional<TimePoint> UpstreamCatalog::NextRemoval() const {
  std::optional<TimePoint> next;
  for (const auto& [id, due] : removals_) {
    if (!next || due < *next) next = due;
  }
  return next;
}

const UpstreamEntry* UpstreamCatalog::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace firmoor
