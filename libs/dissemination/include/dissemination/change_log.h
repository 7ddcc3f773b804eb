#ifndef FIRMOOR_DISSEMINATION_CHANGE_LOG_H_
#define FIRMOOR_DISSEMINATION_CHANGE_LOG_H_

#include <QByteArray>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
/// that read from it: the latest state of each object, indexed by the revision
/// of the store at which it changed. `ChangesSince` may repeat changes that the
/// reader already has, but never misses one; its cost grows with the number of
/// changes, not of objects. Does no I/O.
class ChangeLog {
 public:
  /// Keeps tombstones for the last `max_tombstones` removed objects.
  explicit ChangeLog(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  /// Replaces the content by all objects at `revision`; objects that are not
  /// listed count as removed. Ignored when `revision` is older than
  /// `revision()`.
  void ApplySnapshot(std::int64_t revision,
                     const std::vector<EncodedChange>& objects);
  /// Adds all changes after `revision()` up to `revision`. Ignored before the
  /// first snapshot, and when `revision` is older than `revision()`.
  void ApplyChanges(std::int64_t revision,
                    const std::vector<EncodedChange>& changes);

  /// Changes after `revision`, oldest first; none when the log has been
  /// compacted beyond `revision` or is still empty.
  [[nodiscard]] std::optional<std::vector<EncodedChange>> ChangesSince(
      std::int64_t revision) const;
  /// All objects that were not removed.
  [[nodiscard]] std::vector<EncodedChange> Snapshot() const;
  /// Whether the log holds all changes after `revision`.
  [[nodiscard]] bool Covers(std::int64_t revision) const {
    return revision_ > 0 && revision >= compacted_revision_;
  }
  /// Whether `ChangesSince(revision)` would return any change.
  [[nodiscard]] bool HasChangesSince(std::int64_t revision) const;

  /// Latest revision applied; 0: none yet.
  [[nodiscard]] std::int64_t revision() const { return revision_; }

 private:
  struct Entry {
    EncodedChange change;
    std::int64_t revision = 0;
  };

  void Put(std::int64_t revision, const EncodedChange& change);
  void PruneTombstones();

  std::size_t max_tombstones_;
  std::int64_t revision_ = 0;
  std::int64_t compacted_revision_ = 0;  ///< All changes after it are held.
  std::map<std::string, Entry> objects_;
  std::multimap<std::int64_t, std::string> by_revision_;
  std::multimap<std::int64_t, std::string> tombstones_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_CHANGE_LOG_H_
