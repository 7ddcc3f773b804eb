#include "dissemination/change_log.h"

#include <algorithm>
#include <set>

namespace firmoor {
namespace {

void EraseEntry(std::multimap<StoreVersion, std::string>* index,
                StoreVersion version, const std::string& name) {
  const auto [from, to] = index->equal_range(version);
  const auto found = std::find_if(
      from, to, [&](const auto& entry) { return entry.second == name; });
  if (found != to) index->erase(found);
}

}  // namespace

void ChangeLog::Put(StoreVersion version, const EncodedChange& change) {
  auto& entry = objects_[change.name];
  EraseEntry(&by_version_, entry.version, change.name);
  EraseEntry(&tombstones_, entry.version, change.name);
  entry = {change, version};
  by_version_.emplace(version, change.name);
  if (change.removed) tombstones_.emplace(version, change.name);
}

void ChangeLog::PruneTombstones() {
  while (tombstones_.size() > max_tombstones_) {
    const auto [version, name] = *tombstones_.begin();
    tombstones_.erase(tombstones_.begin());
    EraseEntry(&by_version_, version, name);
    objects_.erase(name);
    compacted_version_ = std::max(compacted_version_, version);
  }
}

void ChangeLog::StartFrom(StoreVersion version) {
  objects_.clear();
  by_version_.clear();
  tombstones_.clear();
  compacted_version_ = version;
}

void ChangeLog::ApplySnapshot(StoreVersion version,
                              const std::vector<EncodedChange>& objects) {
  if (version < version_) return;
  if (IsEmpty() || version.era != version_.era) StartFrom(version);
  std::set<std::string> listed;
  for (const auto& object : objects) {
    listed.insert(object.name);
    const auto entry = objects_.find(object.name);
    const bool is_unchanged =
        entry != objects_.end() && entry->second.change == object;
    if (!is_unchanged) Put(version, object);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : objects_) {
    if (!entry.change.removed && !listed.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) Put(version, {name, {}, true});
  version_ = version;
  PruneTombstones();
}

void ChangeLog::ApplyChanges(StoreVersion version,
                             const std::vector<EncodedChange>& changes) {
  // Changes are only complete after a first snapshot of their era.
  if (IsEmpty() || version.era != version_.era || version < version_) return;
  for (const auto& change : changes) Put(version, change);
  version_ = version;
  PruneTombstones();
}

std::optional<std::vector<EncodedChange>> ChangeLog::ChangesSince(
    StoreVersion version) const {
  if (!Covers(version)) return std::nullopt;
  std::vector<EncodedChange> changes;
  for (auto entry = by_version_.upper_bound(version);
       entry != by_version_.end(); ++entry) {
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

bool ChangeLog::HasChangesSince(StoreVersion version) const {
  return Covers(version) &&
         by_version_.upper_bound(version) != by_version_.end();
}

}  // namespace firmoor
