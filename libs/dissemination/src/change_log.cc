#include "dissemination/change_log.h"

#include <algorithm>
#include <set>

namespace firmoor {
namespace {

void EraseEntry(std::multimap<std::int64_t, std::string>* index,
                std::int64_t revision, const std::string& name) {
  const auto [from, to] = index->equal_range(revision);
  const auto found = std::find_if(
      from, to, [&](const auto& entry) { return entry.second == name; });
  if (found != to) index->erase(found);
}

}  // namespace

void ChangeLog::Put(std::int64_t revision, const EncodedChange& change) {
  auto& entry = objects_[change.name];
  EraseEntry(&by_revision_, entry.revision, change.name);
  EraseEntry(&tombstones_, entry.revision, change.name);
  entry = {change, revision};
  by_revision_.emplace(revision, change.name);
  if (change.removed) tombstones_.emplace(revision, change.name);
}

void ChangeLog::PruneTombstones() {
  while (tombstones_.size() > max_tombstones_) {
    const auto [revision, name] = *tombstones_.begin();
    tombstones_.erase(tombstones_.begin());
    EraseEntry(&by_revision_, revision, name);
    objects_.erase(name);
    compacted_revision_ = std::max(compacted_revision_, revision);
  }
}

void ChangeLog::ApplySnapshot(std::int64_t revision,
                              const std::vector<EncodedChange>& objects) {
  if (revision < revision_) return;
  if (revision_ == 0) compacted_revision_ = revision;
  std::set<std::string> listed;
  for (const auto& object : objects) {
    listed.insert(object.name);
    const auto entry = objects_.find(object.name);
    const bool is_unchanged =
        entry != objects_.end() && entry->second.change == object;
    if (!is_unchanged) Put(revision, object);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : objects_) {
    if (!entry.change.removed && !listed.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) Put(revision, {name, {}, true});
  revision_ = revision;
  PruneTombstones();
}

void ChangeLog::ApplyChanges(std::int64_t revision,
                             const std::vector<EncodedChange>& changes) {
  // Changes are only complete after a first snapshot.
  if (revision_ == 0 || revision < revision_) return;
  for (const auto& change : changes) Put(revision, change);
  revision_ = revision;
  PruneTombstones();
}

std::optional<std::vector<EncodedChange>> ChangeLog::ChangesSince(
    std::int64_t revision) const {
  if (!Covers(revision)) return std::nullopt;
  std::vector<EncodedChange> changes;
  for (auto entry = by_revision_.upper_bound(revision);
       entry != by_revision_.end(); ++entry) {
    changes.push_back(objects_.at(entry->second).change);
  }
  return changes;
}

std::vector<EncodedChange> ChangeLog::Snapshot() const {
  std::vector<EncodedChange> objects;
  for (const auto& [name, entry] : objects_) {
    if (!entry.change.removed) objects.push_back(entry.change);
  }
  return objects;
}

bool ChangeLog::HasChangesSince(std::int64_t revision) const {
  return by_revision_.upper_bound(revision) != by_revision_.end();
}

}  // namespace firmoor
