#ifndef FIRMOOR_DISSEMINATION_CHANGE_LOG_H_
#define FIRMOOR_DISSEMINATION_CHANGE_LOG_H_

#include <QByteArray>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_version.h"

namespace firmoor {

/// A changed or removed object in the encoding that daemons exchange; encoded
/// once and sent to many.
struct EncodedChange {
  std::string name;
  QByteArray bytes;
  bool removed = false;

  bool operator==(const EncodedChange&) const = default;
};

/// Compacted change log of one kind, from which a daemon serves the daemons
/// that read from it: the latest state of each object, indexed by the version
/// of the store at which it changed. `ChangesSince` may repeat changes that the
/// reader already has, but never misses one; its cost grows with the number of
/// changes, not of objects. Holds the content of one era of the store. Does no
/// I/O.
class ChangeLog {
 public:
  /// Keeps tombstones for the last `max_tombstones` removed objects.
  explicit ChangeLog(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  /// Replaces the content by all objects at `version`; objects that are not
  /// listed count as removed. The first snapshot of a later era replaces the
  /// log. Ignored when `version` is older than `version()`.
  void ApplySnapshot(StoreVersion version,
                     const std::vector<EncodedChange>& objects);
  /// Adds all changes after `version()` up to `version`. Ignored before the
  /// first snapshot, when `version` is older than `version()`, and in another
  /// era.
  void ApplyChanges(StoreVersion version,
                    const std::vector<EncodedChange>& changes);

  /// Changes after `version`, oldest first; none when the log has been
  /// compacted beyond `version`, is of another era or is still empty.
  [[nodiscard]] std::optional<std::vector<EncodedChange>> ChangesSince(
      StoreVersion version) const;
  /// All objects that were not removed.
  [[nodiscard]] std::vector<EncodedChange> Snapshot() const;
  /// Whether the log holds all changes after `version`.
  [[nodiscard]] bool Covers(StoreVersion version) const {
    return !IsEmpty() && version.era == version_.era &&
           version >= compacted_version_;
  }
  /// Whether there was no snapshot yet.
  [[nodiscard]] bool IsEmpty() const { return version_ == StoreVersion(); }
  /// Whether `ChangesSince(version)` would return any change.
  [[nodiscard]] bool HasChangesSince(StoreVersion version) const;

  /// Latest version applied; the default version: none yet.
  [[nodiscard]] StoreVersion version() const { return version_; }

 private:
  struct Entry {
    EncodedChange change;
    StoreVersion version;
  };

  void Put(StoreVersion version, const EncodedChange& change);
  void PruneTombstones();
  /// Removes all content, before a snapshot at `version`.
  void StartFrom(StoreVersion version);

  std::size_t max_tombstones_;
  StoreVersion version_;
  StoreVersion compacted_version_;  ///< All changes after it are held.
  std::map<std::string, Entry> objects_;
  std::multimap<StoreVersion, std::string> by_version_;
  std::multimap<StoreVersion, std::string> tombstones_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_CHANGE_LOG_H_
