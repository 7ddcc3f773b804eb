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

/// An object of a kind as daemons pass it on: encoded once, sent to many.
struct EncodedChange {
  std::string name;
  QByteArray bytes;
  bool removed = false;

  bool operator==(const EncodedChange&) const = default;
};

/// What one daemon knows of a kind's objects, for the daemons that read from
/// it: the newest state of each object, and since which revision of the store.
/// An answer may repeat what the asker has, and never misses a change; its cost
/// grows with the changes, not with the objects. Pure.
class ChangeLog {
 public:
  /// `max_tombstones`: removed objects that are remembered.
  explicit ChangeLog(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  /// Takes the whole content at `revision`.
  void ApplySnapshot(std::int64_t revision,
                     const std::vector<EncodedChange>& objects);
  /// Takes all changes between the revision held and `revision`.
  void ApplyChanges(std::int64_t revision,
                    const std::vector<EncodedChange>& changes);

  /// Changes after `revision`, the oldest first; none when the log does not
  /// reach back so far, or holds nothing yet.
  [[nodiscard]] std::optional<std::vector<EncodedChange>> ChangesSince(
      std::int64_t revision) const;
  /// Whether it reaches back to `revision`.
  [[nodiscard]] bool Covers(std::int64_t revision) const {
    return revision_ > 0 && revision >= compacted_revision_;
  }
  /// Whether `ChangesSince` has changes to tell.
  [[nodiscard]] bool HasChangesSince(std::int64_t revision) const;

  /// Up to which revision all is available; 0: nothing is.
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
  std::int64_t compacted_revision_ = 0;  ///< Changes after it are available.
  std::map<std::string, Entry> objects_;
  std::multimap<std::int64_t, std::string> by_revision_;
  std::multimap<std::int64_t, std::string> tombstones_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_CHANGE_LOG_H_
