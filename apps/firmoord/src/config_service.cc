#include "config_service.h"

#include <fmt/format.h>

#include <QCborArray>
#include <QCborValue>
#include <QJsonDocument>
#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("config");
constexpr const char* kHeadObject = "config-head";
constexpr int kWatchersPerZone = 2;
constexpr int kRetryIntervalMs = 250;
constexpr int kNotifiedPeers = 4;
constexpr Duration kFetchTimeout{1'500};
constexpr Duration kPatchTimeout{5'000};

std::string SnapshotObject(std::int64_t version) {
  return fmt::format("config-snapshot-{}", version);
}

QJsonObject DecodeSnapshot(const StoredObject& object) {
  return QJsonDocument::fromJson(object.value).object();
}

}  // namespace

struct ConfigService::PatchAttempt {
  ConfigPatch patch;
  PatchDone done;
  TimePoint deadline;
  bool may_be_applied = false;
};

ConfigService::ConfigService(
    const Settings& settings, ObjectStore* store,
    std::function<void(const Configuration&)> on_change)
    : settings_(settings), store_(store), on_change_(std::move(on_change)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] {
    if (fleet_->HasContactedSeeds()) startup_.OnPeersQueried();
    Watch();
  });
}

void ConfigService::SetFleet(Fleet* fleet) {
  fleet_ = fleet;
  fleet_->SetHandler("config", [this](const QByteArray& message,
                                      const PeerNode::Reply& reply) {
    ServeFetch(message, reply);
  });
  fleet_->SetHandler("config-version", [this](const QByteArray& message,
                                              const PeerNode::Reply& reply) {
    const auto array = QCborValue::fromCbor(message).toArray();
    const auto name = array.at(0).toString().toStdString();
    if (const auto* peer = fleet_->membership().Find(name)) {
      OnVersionSeen(*peer, array.at(1).toInteger());
    }
    reply({});
  });
}

void ConfigService::Start() {
  stopped_ = false;
  timer_.start(kRetryIntervalMs);
  Watch();
}

void ConfigService::Stop() {
  stopped_ = true;
  timer_.stop();
}

bool ConfigService::IsWatcher() const {
  std::vector<std::string> names = {settings_.daemon};
  for (const auto& member : fleet_->membership().Live()) {
    if (member.availability_zone == settings_.availability_zone) {
      names.push_back(member.name);
    }
  }
  const auto order = RendezvousOrder("config-watch", std::move(names));
  const auto end =
      order.begin() +
      std::min<std::ptrdiff_t>(kWatchersPerZone,
                               static_cast<std::ptrdiff_t>(order.size()));
  return std::find(order.begin(), end, settings_.daemon) != end;
}

void ConfigService::Watch() {
  if (watching_ || stopped_) return;
  if (IsKnown() && !IsWatcher()) return;
  watching_ = true;
  const auto on_head = [this](StoreStatus status, const StoredObject& object) {
    watching_ = false;
    if (stopped_ || status == StoreStatus::kUnavailable) return;
    if (status == StoreStatus::kNotFound) {
      OnHeadRead();
      return Watch();
    }
    // A store replica that lags may return an older head, which the follower
    // ignores.
    head_object_version_ = std::max(head_object_version_, object.version);
    ApplyHead(object, [this](bool applied) {
      if (applied) Watch();
    });
  };
  if (!has_read_head_) {
    store_->Read(kHeadObject, on_head);
  } else {
    store_->Watch(kHeadObject, head_object_version_, on_head);
  }
}

void ConfigService::ApplyHead(const StoredObject& object,
                              const std::function<void(bool)>& done) {
  const auto decoded =
      Capture([&] { return ConfigHead::Decode(object.value); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    kLog.Error("Invalid configuration in the store: {}.", error->message);
    return done(false);
  }
  const auto head = std::get<ConfigHead>(decoded);
  ConfigFollower::Update update;
  update.version = head.Version();
  update.patches = head.patches;
  const bool is_contiguous =
      follower_.current().version() >= head.snapshot_version;
  if (is_contiguous || head.snapshot_version == 0) {
    if (follower_.ApplyUpdate(update)) OnVersionChanged();
    OnHeadRead();
    return done(true);
  }
  store_->Read(
      SnapshotObject(head.snapshot_version),
      [this, head, done](StoreStatus status, const StoredObject& snapshot) {
        if (status != StoreStatus::kOk) return done(false);
        AdoptHead(head, DecodeSnapshot(snapshot));
        OnHeadRead();
        done(true);
      });
}

void ConfigService::OnHeadRead() {
  has_read_head_ = true;
  startup_.OnStoreResponse();
}

void ConfigService::AdoptHead(const ConfigHead& head,
                              const QJsonObject& snapshot) {
  const auto built =
      Capture([&] { return BuildConfiguration(head, snapshot); });
  if (const auto* error = std::get_if<Error>(&built)) {
    kLog.Error("Invalid configuration in the store: {}.", error->message);
    return;
  }
  if (follower_.AdoptIfNewer(std::get<Configuration>(built), head.patches)) {
    OnVersionChanged();
  }
}

void ConfigService::OnVersionChanged() {
  kLog.Info("Configuration version {} is in effect.", current().version());
  startup_.OnVersion(current().version());
  on_change_(current());
  const auto message =
      QCborValue(QCborArray{QString::fromStdString(settings_.daemon),
                            static_cast<qint64>(current().version())})
          .toCbor();
  // Notify a few peers immediately; they notify others in turn, and probes
  // reach the rest. The last entry is the most distant peer, so that zones
  // without a working watch are reached as well.
  auto peers = fleet_->LiveMembersByDistance(
      settings_.daemon + std::to_string(current().version()));
  if (peers.size() > kNotifiedPeers) {
    std::swap(peers[kNotifiedPeers - 1], peers.back());
    peers.resize(kNotifiedPeers);
  }
  for (const auto& peer : peers) {
    fleet_->Call(peer, "config-version", message, kFetchTimeout,
                 [](PeerStatus, const QByteArray&) {});
  }
}

void ConfigService::OnVersionSeen(const Member& peer, std::int64_t version) {
  startup_.OnPeerVersion(version);
  if (fleet_->HasContactedSeeds()) startup_.OnPeersQueried();
  if (version > current().version()) FetchFrom(peer);
}

void ConfigService::FetchFrom(const Member& peer) {
  if (fetching_ || stopped_) return;
  fetching_ = true;
  fleet_->Call(
      peer, "config",
      QByteArray::number(static_cast<qint64>(current().version())),
      kFetchTimeout, [this](PeerStatus status, const QByteArray& body) {
        fetching_ = false;
        if (status != PeerStatus::kOk || stopped_) return;
        const auto update =
            Capture([&] { return ConfigFollower::Update::Decode(body); });
        if (std::holds_alternative<Error>(update)) return;
        if (follower_.ApplyUpdate(std::get<ConfigFollower::Update>(update))) {
          OnVersionChanged();
        }
      });
}

void ConfigService::ServeFetch(const QByteArray& message,
                               const PeerNode::Reply& reply) {
  reply(follower_.UpdateSince(message.toLongLong()).Encode());
}

void ConfigService::Apply(const ConfigPatch& patch, PatchDone done) {
  const auto attempt = std::make_shared<PatchAttempt>();
  attempt->patch = patch;
  attempt->done = std::move(done);
  attempt->deadline = MonotonicNow() + kPatchTimeout;
  ReadForPatch(attempt);
}

void ConfigService::RetryPatch(const std::shared_ptr<PatchAttempt>& attempt) {
  if (MonotonicNow() < attempt->deadline) {
    QTimer::singleShot(kRetryIntervalMs, &timer_,
                       [this, attempt] { ReadForPatch(attempt); });
    return;
  }
  const auto code = attempt->may_be_applied ? ResultCode::kPatchOutcomeUnknown
                                            : ResultCode::kStoreUnavailable;
  attempt->done(
      {{code, std::string(InfoOf(code).meaning)}, current().version()});
}

void ConfigService::ReadForPatch(const std::shared_ptr<PatchAttempt>& attempt) {
  store_->Read(kHeadObject, [this, attempt](StoreStatus status,
                                            const StoredObject& object) {
    if (status == StoreStatus::kUnavailable) return RetryPatch(attempt);
    const auto decoded = Capture([&]() -> Result<ConfigHead> {
      if (status == StoreStatus::kNotFound) return ConfigHead{};
      return ConfigHead::Decode(object.value);
    });
    if (const auto* error = std::get_if<Error>(&decoded)) {
      return attempt->done({*error, current().version()});
    }
    const auto snapshot_version =
        std::get<ConfigHead>(decoded).snapshot_version;
    if (snapshot_version == 0) return EvaluateOnHead(attempt, object, {});
    store_->Read(SnapshotObject(snapshot_version),
                 [this, attempt, object](StoreStatus read,
                                         const StoredObject& snapshot) {
                   if (read != StoreStatus::kOk) return RetryPatch(attempt);
                   EvaluateOnHead(attempt, object, DecodeSnapshot(snapshot));
                 });
  });
}

void ConfigService::EvaluateOnHead(const std::shared_ptr<PatchAttempt>& attempt,
                                   const StoredObject& object,
                                   const QJsonObject& snapshot) {
  const auto built =
      Capture([&]() -> Result<std::pair<ConfigHead, Configuration>> {
        ConfigHead head;
        if (!object.value.isEmpty()) {
          BOOST_LEAF_ASSIGN(head, ConfigHead::Decode(object.value));
        }
        BOOST_LEAF_AUTO(configuration, BuildConfiguration(head, snapshot));
        return std::make_pair(head, configuration);
      });
  if (const auto* error = std::get_if<Error>(&built)) {
    return attempt->done({*error, current().version()});
  }
  const auto& [head, configuration] =
      std::get<std::pair<ConfigHead, Configuration>>(built);
  if (head.Version() < current().version()) return RetryPatch(attempt);
  const auto decision = EvaluatePatch(head, configuration, attempt->patch);
  switch (decision.kind) {
    case PatchDecision::Kind::kRefuse:
      return attempt->done({decision.error, decision.version});
    case PatchDecision::Kind::kAlreadyApplied:
      AdoptHead(head, snapshot);
      return attempt->done({{ResultCode::kOk, ""}, decision.version});
    case PatchDecision::Kind::kAccept:
      break;
  }
  const auto compaction = CompactHead(decision.head, snapshot);
  if (!compaction.needed) {
    return WriteHead(attempt, object, decision.head, snapshot);
  }
  store_->Write(
      SnapshotObject(compaction.snapshot_version), {},
      QJsonDocument(compaction.snapshot).toJson(QJsonDocument::Compact),
      [this, attempt, object, compaction](StoreStatus status, StoreVersion) {
        // On a conflict the same snapshot has already been stored.
        if (status == StoreStatus::kUnavailable) return RetryPatch(attempt);
        WriteHead(attempt, object, compaction.head, compaction.snapshot);
      });
}

void ConfigService::WriteHead(const std::shared_ptr<PatchAttempt>& attempt,
                              const StoredObject& object,
                              const ConfigHead& head,
                              const QJsonObject& snapshot) {
  store_->Write(
      kHeadObject, object.version, head.Encode(),
      [this, attempt, head, snapshot](StoreStatus status, StoreVersion) {
        if (status == StoreStatus::kOk) {
          AdoptHead(head, snapshot);
          return attempt->done({{ResultCode::kOk, ""}, head.Version()});
        }
        attempt->may_be_applied |= status == StoreStatus::kUnavailable;
        // Read the head again: it contains the id of the patch if the write has
        // taken effect; otherwise the base version decides.
        RetryPatch(attempt);
      });
}

}  // namespace firmoor
