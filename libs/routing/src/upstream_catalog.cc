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

UpstreamCatalog::UpstreamCatalog(Duration reregistration_time,
                                 Duration max_removal_delay)
    : reregistration_time_(reregistration_time),
      max_removal_delay_(std::max(max_removal_delay, reregistration_time)) {}

void UpstreamCatalog::ApplyAll(const std::vector<UpstreamEntry>& entries,
                               TimePoint now) {
  std::set<std::string> listed;
  for (const auto& entry : entries) {
    if (IsOutdated(entry, now)) continue;
    listed.insert(entry.id);
    Apply(entry);
  }
  listed_since_return_ = true;
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
  const bool has_departed = left != departed_.end() && left->second.is_final &&
                            left->second.born_ms == entry.born_ms;
  stored.leaving = entry.leaving || was_leaving || has_departed;
}

void UpstreamCatalog::Remove(const std::string& id, TimePoint now) {
  if (!entries_.contains(id)) return;
  const bool may_return =
      last_outage_ && now - *last_outage_ < reregistration_time_;
  if (!may_return) return Erase(id, now);
  pending_removals_.try_emplace(
      id, PendingRemoval{now, *last_outage_ + reregistration_time_});
}

void UpstreamCatalog::OnStoreOutage(TimePoint now) {
  last_outage_ = now;
  for (auto& [id, removal] : pending_removals_) {
    removal.due = std::max(removal.due, now + reregistration_time_);
  }
}

void UpstreamCatalog::OnStoreReturn(TimePoint now) {
  OnStoreOutage(now);
  last_return_ = now;
  listed_since_return_ = false;
}

bool UpstreamCatalog::IsOutdated(const UpstreamEntry& entry,
                                 TimePoint now) const {
  const bool may_be_of_copy =
      last_return_ &&
      (!listed_since_return_ || now - *last_return_ < reregistration_time_);
  if (!may_be_of_copy) return false;
  if (const auto* known = Find(entry.id)) {
    return entry.born_ms < known->born_ms;
  }
  const auto left = departed_.find(entry.id);
  return left != departed_.end() && entry.born_ms <= left->second.born_ms;
}

void UpstreamCatalog::Erase(const std::string& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  const auto& entry = found->second;
  RecordDeparture(id, {entry.born_ms, now, entry.leaving});
  entries_.erase(found);
  pending_removals_.erase(id);
}

void UpstreamCatalog::RecordDeparture(const std::string& id,
                                      DepartedInstance departed) {
  std::erase_if(departed_, [&](const auto& entry) {
    return departed.at - entry.second.at > kDepartedRetention;
  });
  departed_[id] = departed;
}

bool UpstreamCatalog::MarkLeaving(const std::string& id, std::int64_t born_ms,
                                  TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.born_ms != born_ms) return false;
  RecordDeparture(id, {born_ms, now, true});
  return found != entries_.end() && !std::exchange(found->second.leaving, true);
}

std::set<std::string> UpstreamCatalog::RegisteredServices() const {
  std::set<std::string> services;
  for (const auto& [id, entry] : entries_) {
    if (!entry.leaving && !pending_removals_.contains(id)) {
      services.insert(entry.service);
    }
  }
  return services;
}

TimePoint UpstreamCatalog::DueTime(
    const std::string& id, const PendingRemoval& removal,
    const std::set<std::string>& registered_services) const {
  const bool is_bounded = registered_services.contains(entries_.at(id).service);
  return is_bounded
             ? std::min(removal.due, removal.seen_at + max_removal_delay_)
             : removal.due;
}

void UpstreamCatalog::ApplyDueRemovals(TimePoint now) {
  if (pending_removals_.empty()) return;
  const auto services = RegisteredServices();
  std::vector<std::string> due;
  for (const auto& [id, removal] : pending_removals_) {
    if (DueTime(id, removal, services) <= now) due.push_back(id);
  }
  for (const auto& id : due) Erase(id, now);
}

std::optional<TimePoint> UpstreamCatalog::NextRemoval() const {
  const auto services = RegisteredServices();
  std::optional<TimePoint> next;
  for (const auto& [id, removal] : pending_removals_) {
    const auto due = DueTime(id, removal, services);
    if (!next || due < *next) next = due;
  }
  return next;
}

const UpstreamEntry* UpstreamCatalog::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace firmoor
