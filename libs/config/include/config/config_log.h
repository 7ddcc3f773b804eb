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

/// An operator's change: a JSON merge patch (RFC 7386) against one version of
/// the configuration.
struct ConfigPatch {
  std::string id;                 ///< Chosen by the operator; unique.
  std::int64_t base_version = 0;  ///< The version that it applies to.
  QJsonObject merge;

  bool operator==(const ConfigPatch&) const = default;
};

/// Applies a JSON merge patch to `target`.
QJsonObject MergePatch(const QJsonObject& target, const QJsonObject& patch);

/// The configuration's head object in the platform's store: the version of a
/// snapshot and the patches since. A patch is committed by a conditional write
/// of this object alone. Snapshots are separate, immutable objects, so that the
/// head stays small whatever the size of the document.
struct ConfigHead {
  std::int64_t snapshot_version = 0;  ///< 0: the empty document.
  std::vector<ConfigPatch> patches;   ///< Versions snapshot_version + 1, ...

  /// The version after all patches.
  [[nodiscard]] std::int64_t Version() const;

  /// The version that patch `id` created, or 0 if it is not in this head.
  [[nodiscard]] std::int64_t VersionOf(const std::string& id) const;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<ConfigHead> Decode(const QByteArray& bytes);

  bool operator==(const ConfigHead&) const = default;
};

/// Number of patches at which a head is compacted into a snapshot.
constexpr std::size_t kPatchesPerSnapshot = 64;

/// Result of checking an operator's patch against a head and its document.
struct PatchDecision {
  enum class Kind {
    kAccept,          ///< Write `head` if the object is unchanged since read.
    kAlreadyApplied,  ///< A retry; `version` is the one that it created.
    kRefuse,          ///< See `error`; `version` is the current one.
  };
  Kind kind = Kind::kRefuse;
  std::int64_t version = 0;
  ConfigHead head;
  Error error;
};

/// Checks `patch` against `current`, the configuration at `head.Version()`.
/// Pure function: the caller writes the head, and on a conflict reads it again.
PatchDecision EvaluatePatch(const ConfigHead& head,
                            const Configuration& current,
                            const ConfigPatch& patch);

/// If the head is full, merges its oldest patches into a snapshot. The last
/// `kPatchesPerSnapshot / 4` patches stay in the head, so that lagging peers
/// can still catch up by patches. The snapshot must be stored before the head.
struct Compaction {
  bool needed = false;
  std::int64_t snapshot_version = 0;
  QJsonObject snapshot;
  ConfigHead head;
};
Compaction CompactHead(const ConfigHead& head, const QJsonObject& snapshot);

/// Applies the patches of `head` to its snapshot.
Result<Configuration> BuildConfiguration(const ConfigHead& head,
                                         const QJsonObject& snapshot);

/// A daemon's copy of the configuration. Its version never decreases: older
/// documents, from a lagging store, a lagging peer or after a healed network
/// partition, are ignored. Keeps the latest patches for lagging peers.
class ConfigFollower {
 public:
  /// What a peer needs to catch up from some version.
  struct Update {
    std::int64_t version = 0;
    bool is_full = false;              ///< `document` instead of `patches`.
    std::vector<ConfigPatch> patches;  ///< From the peer's version on.
    QJsonObject document;

    [[nodiscard]] QByteArray Encode() const;
    static Result<Update> Decode(const QByteArray& bytes);
  };

  [[nodiscard]] const Configuration& current() const { return current_; }

  /// Replaces the current configuration if `configuration` is newer; returns
  /// whether it was. `patches` are the latest that led to it, oldest first.
  bool AdoptIfNewer(const Configuration& configuration,
                    const std::vector<ConfigPatch>& patches);

  /// Applies an update from a peer. Returns false if it has nothing newer or
  /// lacks patches after the current version.
  bool ApplyUpdate(const Update& update);

  /// The update for a peer at `version`, which may be up to date already.
  [[nodiscard]] Update UpdateSince(std::int64_t version) const;

 private:
  Configuration current_;
  std::vector<ConfigPatch> recent_;  ///< Lead to current_, oldest first.
};

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_CONFIG_LOG_H_
