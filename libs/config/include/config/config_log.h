#ifndef FIRMOOR_CONFIG_CONFIG_LOG_H_
#define FIRMOOR_CONFIG_CONFIG_LOG_H_

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/configuration.h"

namespace firmoor {

/// A change an operator asks for: a JSON merge patch (RFC 7386) against one
/// version of the configuration.
struct ConfigPatch {
  std::string id;                 ///< Chosen by the operator; unique.
  std::int64_t base_version = 0;  ///< The version it changes.
  QJsonObject merge;

  bool operator==(const ConfigPatch&) const = default;
};

/// Applies a JSON merge patch to `target`.
QJsonObject MergePatch(const QJsonObject& target, const QJsonObject& patch);

/// The head object of the configuration in the platform's store: a snapshot
/// version and the patches since. A patch is accepted by a conditional
/// update of this object alone, so it stays small whatever the size of the
/// document; snapshots are separate objects that never change.
struct ConfigHead {
  std::int64_t snapshot_version = 0;  ///< 0: the empty document.
  std::vector<ConfigPatch> patches;   ///< Versions snapshot_version + 1, ...

  /// The version after all patches.
  [[nodiscard]] std::int64_t Version() const;

  /// Version that the patch `id` made, or 0 when it is not in this head.
  [[nodiscard]] std::int64_t VersionOf(const std::string& id) const;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<ConfigHead> Decode(const QByteArray& bytes);

  bool operator==(const ConfigHead&) const = default;
};

/// Patches kept in a head before they are folded into a snapshot.
constexpr std::size_t kPatchesPerSnapshot = 64;

/// What an operator's patch comes to against a head and its document.
struct PatchDecision {
  enum class Kind {
    kAccept,          ///< Write `head` under the version it was read at.
    kAlreadyApplied,  ///< The id is known; `version` is its version.
    kRefuse,          ///< `error` says why; `version` is the current one.
  };
  Kind kind = Kind::kRefuse;
  std::int64_t version = 0;
  ConfigHead head;
  Error error;
};

/// Decides on `patch`. `current` is the configuration at `head.Version()`.
/// Pure: the caller writes the head and handles conflicts by reading again.
PatchDecision EvaluatePatch(const ConfigHead& head,
                            const Configuration& current,
                            const ConfigPatch& patch);

/// Folds all patches but the last `kPatchesPerSnapshot / 4` into a snapshot
/// when the head is full, so that peers that lag can still follow by patches.
/// The snapshot must be stored before the returned head.
struct Compaction {
  bool needed = false;
  std::int64_t snapshot_version = 0;
  QJsonObject snapshot;
  ConfigHead head;
};
Compaction CompactHead(const ConfigHead& head, const QJsonObject& snapshot);

/// Builds the configuration at the end of `head` from its snapshot.
Result<Configuration> BuildConfiguration(const ConfigHead& head,
                                         const QJsonObject& snapshot);

/// The configuration that a daemon follows. Its version only rises: older
/// documents, from a lagging store, a late peer or a healed partition, are
/// ignored. Keeps the last patches for peers that lag.
class ConfigFollower {
 public:
  /// What a peer that is at some version needs.
  struct Update {
    std::int64_t version = 0;
    bool is_full = false;              ///< `document` instead of `patches`.
    std::vector<ConfigPatch> patches;  ///< From the peer's version on.
    QJsonObject document;

    [[nodiscard]] QByteArray Encode() const;
    static Result<Update> Decode(const QByteArray& bytes);
  };

  [[nodiscard]] const Configuration& current() const { return current_; }

  /// Takes a configuration that is newer than the current one; false
  /// otherwise. `patches` are those that led to it, oldest first.
  bool AdoptIfNewer(const Configuration& configuration,
                    const std::vector<ConfigPatch>& patches);

  /// Takes an update from a peer; false when it brings nothing newer or
  /// does not connect to the current version.
  bool ApplyUpdate(const Update& update);

  /// The update for a peer at `version`, which may be current already.
  [[nodiscard]] Update UpdateSince(std::int64_t version) const;

 private:
  Configuration current_;
  std::vector<ConfigPatch> recent_;  ///< Lead to current_, oldest first.
};

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_CONFIG_LOG_H_
