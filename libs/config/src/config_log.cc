#include "config/config_log.h"

#include <fmt/format.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <utility>

#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr std::size_t kPatchesKeptAfterSnapshot = kPatchesPerSnapshot / 4;

QCborMap EncodePatch(const ConfigPatch& patch) {
  return {{QStringLiteral("id"), QString::fromStdString(patch.id)},
          {QStringLiteral("base"), static_cast<qint64>(patch.base_version)},
          {QStringLiteral("merge"), QCborMap::fromJsonObject(patch.merge)}};
}

ConfigPatch DecodePatch(const QCborMap& map) {
  return {map.value(QStringLiteral("id")).toString().toStdString(),
          map.value(QStringLiteral("base")).toInteger(),
          map.value(QStringLiteral("merge")).toMap().toJsonObject()};
}

QCborArray EncodePatches(const std::vector<ConfigPatch>& patches) {
  QCborArray array;
  for (const auto& patch : patches) array.append(EncodePatch(patch));
  return array;
}

std::vector<ConfigPatch> DecodePatches(const QCborArray& array) {
  std::vector<ConfigPatch> patches;
  for (const auto& item : array) patches.push_back(DecodePatch(item.toMap()));
  return patches;
}

}  // namespace

QJsonObject MergePatch(const QJsonObject& target, const QJsonObject& patch) {
  QJsonObject merged = target;
  for (auto it = patch.begin(); it != patch.end(); ++it) {
    if (it.value().isNull()) {
      merged.remove(it.key());
    } else if (it.value().isObject()) {
      merged[it.key()] =
          MergePatch(merged.value(it.key()).toObject(), it.value().toObject());
    } else {
      merged[it.key()] = it.value();
    }
  }
  return merged;
}

std::int64_t ConfigHead::Version() const {
  return snapshot_version + static_cast<std::int64_t>(patches.size());
}

std::int64_t ConfigHead::VersionOf(const std::string& id) const {
  for (const auto& patch : patches) {
    if (patch.id == id) return patch.base_version + 1;
  }
  return 0;
}

QByteArray ConfigHead::Encode() const {
  return QCborValue(
             QCborMap{{QStringLiteral("snapshot"),
                       static_cast<qint64>(snapshot_version)},
                      {QStringLiteral("patches"), EncodePatches(patches)}})
      .toCbor();
}

Result<ConfigHead> ConfigHead::Decode(const QByteArray& bytes) {
  const auto value = QCborValue::fromCbor(bytes);
  if (!value.isMap()) {
    return Fail(ResultCode::kBadMessage, "the configuration head is no map");
  }
  const auto map = value.toMap();
  return ConfigHead{
      map.value(QStringLiteral("snapshot")).toInteger(),
      DecodePatches(map.value(QStringLiteral("patches")).toArray())};
}

PatchDecision EvaluatePatch(const ConfigHead& head,
                            const Configuration& current,
                            const ConfigPatch& patch) {
  FIRMOOR_PRECONDITION(head.Version() == current.version(),
                       "the configuration is at the version of the head");
  PatchDecision decision;
  decision.version = head.Version();
  if (const auto applied = head.VersionOf(patch.id); applied != 0) {
    decision.kind = PatchDecision::Kind::kAlreadyApplied;
    decision.version = applied;
    return decision;
  }
  if (patch.base_version != head.Version()) {
    decision.error = {ResultCode::kStaleVersion,
                      fmt::format("the patch is against version {}, the "
                                  "current version is {}",
                                  patch.base_version, head.Version())};
    return decision;
  }
  const auto parsed = Capture([&] {
    return Configuration::Parse(head.Version() + 1,
                                MergePatch(current.document(), patch.merge));
  });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    decision.error = *error;
    return decision;
  }
  decision.kind = PatchDecision::Kind::kAccept;
  decision.head = head;
  decision.head.patches.push_back(patch);
  decision.version = decision.head.Version();
  return decision;
}

Compaction CompactHead(const ConfigHead& head, const QJsonObject& snapshot) {
  Compaction compaction;
  if (head.patches.size() < kPatchesPerSnapshot) return compaction;
  const auto keep_from = head.patches.size() - kPatchesKeptAfterSnapshot;
  compaction.needed = true;
  compaction.snapshot = snapshot;
  for (std::size_t i = 0; i < keep_from; ++i) {
    compaction.snapshot =
        MergePatch(compaction.snapshot, head.patches[i].merge);
  }
  compaction.snapshot_version =
      head.snapshot_version + static_cast<std::int64_t>(keep_from);
  compaction.head.snapshot_version = compaction.snapshot_version;
  compaction.head.patches.assign(
      head.patches.begin() + static_cast<std::ptrdiff_t>(keep_from),
      head.patches.end());
  FIRMOOR_INVARIANT(compaction.head.Version() == head.Version(),
                    "compaction keeps the version");
  return compaction;
}

Result<Configuration> BuildConfiguration(const ConfigHead& head,
                                         const QJsonObject& snapshot) {
  QJsonObject document = snapshot;
  for (const auto& patch : head.patches) {
    document = MergePatch(document, patch.merge);
  }
  return Configuration::Parse(head.Version(), document);
}

QByteArray ConfigFollower::Update::Encode() const {
  QCborMap map{{QStringLiteral("version"), static_cast<qint64>(version)},
               {QStringLiteral("whole"), is_full}};
  if (is_full) {
    map[QStringLiteral("document")] = QCborMap::fromJsonObject(document);
  } else {
    map[QStringLiteral("patches")] = EncodePatches(patches);
  }
  return QCborValue(map).toCbor();
}

Result<ConfigFollower::Update> ConfigFollower::Update::Decode(
    const QByteArray& bytes) {
  const auto value = QCborValue::fromCbor(bytes);
  if (!value.isMap()) {
    return Fail(ResultCode::kBadMessage, "the configuration update is no map");
  }
  const auto map = value.toMap();
  Update update;
  update.version = map.value(QStringLiteral("version")).toInteger();
  update.is_full = map.value(QStringLiteral("whole")).toBool();
  update.patches =
      DecodePatches(map.value(QStringLiteral("patches")).toArray());
  update.document =
      map.value(QStringLiteral("document")).toMap().toJsonObject();
  return update;
}

bool ConfigFollower::AdoptIfNewer(const Configuration& configuration,
                                  const std::vector<ConfigPatch>& patches) {
  if (configuration.version() <= current_.version()) return false;
  const auto before = current_.version();
  current_ = configuration;
  recent_ = patches;
  FIRMOOR_INVARIANT(current_.version() > before,
                    "the configuration version never decreases");
  return true;
}

bool ConfigFollower::ApplyUpdate(const Update& update) {
  if (update.version <= current_.version()) return false;
  QJsonObject document = update.document;
  std::vector<ConfigPatch> recent;
  if (!update.is_full) {
    document = current_.document();
    recent = recent_;
    std::int64_t version_reached = current_.version();
    for (const auto& patch : update.patches) {
      if (patch.base_version < version_reached) continue;
      if (patch.base_version != version_reached) return false;
      document = MergePatch(document, patch.merge);
      recent.push_back(patch);
      ++version_reached;
    }
    if (version_reached != update.version) return false;
  }
  if (recent.size() > kPatchesPerSnapshot) {
    recent.erase(recent.begin(), recent.end() - kPatchesPerSnapshot);
  }
  const auto parsed =
      Capture([&] { return Configuration::Parse(update.version, document); });
  const auto* configuration = std::get_if<Configuration>(&parsed);
  return configuration != nullptr && AdoptIfNewer(*configuration, recent);
}

ConfigFollower::Update ConfigFollower::UpdateSince(std::int64_t version) const {
  Update update;
  update.version = current_.version();
  const bool has_all_patches =
      version >= current_.version() ||
      (!recent_.empty() && recent_.front().base_version <= version);
  if (!has_all_patches) {
    update.is_full = true;
    update.document = current_.document();
    return update;
  }
  for (const auto& patch : recent_) {
    if (patch.base_version >= version) update.patches.push_back(patch);
  }
  return update;
}

}  // namespace firmoor
