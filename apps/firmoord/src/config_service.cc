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
constexpr int kRetryMs = 250;
constexpr int kEagerPeers = 4;
constexpr Duration kPullTimeout{1'500};
constexpr Duration kPatchTime{5'000};

std::string SnapshotObject(std::int64_t version) {
  return fmt::format("config-snapshot-{}", version);
}

QJsonObject DecodeSnapshot(const StoredObject& object) {
  return QJsonDocument::fromJson(object.value).object();
}

}  // namespace

struct ConfigService::Attempt {
  ConfigPatch patch;
  PatchDone done;
  TimePoint give_up;
  bool may_be_written = false;
};

ConfigService::ConfigService(
    const Settings& settings, ObjectStore* store,
    std::function<void(const Configuration&)> on_change)
    : settings_(settings), store_(store), on_change_(std::move(on_change)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] {
    if (fleet_->HasAskedSeeds()) startup_.OnPeersQueried();
    Watch();
  });
}

void ConfigService::SetFleet(Fleet* fleet) {
  fleet_ = fleet;
  fleet_->SetHandler("config", [this](const QByteArray& message,
                                      const PeerNode::Reply& reply) {
    ServePull(message, reply);
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
  timer_.start(kRetryMs);
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
  const auto take = [this](StoreStatus status, const StoredObject& object) {
    watching_ = false;
    if (stopped_ || status == StoreStatus::kUnavailable) return;
    if (status == StoreStatus::kNotFound) {
      HeadTaken();
      return Watch();
    }
    // A lagging store may show an older head; the follower ignores it.
    head_object_version_ = std::max(head_object_version_, object.version);
    TakeHead(object, [this](bool taken) {
      if (taken) Watch();
    });
  };
  if (!has_read_head_) {
    store_->Read(kHeadObject, take);
  } else {
    store_->Watch(kHeadObject, head_object_version_, take);
  }
}

void ConfigService::TakeHead(const StoredObject& object,
                             const std::function<void(bool)>& done) {
  const auto decoded =
      Capture([&] { return ConfigHead::Decode(object.value); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    kLog.Error("The configuration in the store is bad: {}.", error->message);
    return done(false);
  }
  const auto head = std::get<ConfigHead>(decoded);
  ConfigFollower::Update update;
  update.version = head.Version();
  update.patches = head.patches;
  const bool connects = follower_.current().version() >= head.snapshot_version;
  if (connects || head.snapshot_version == 0) {
    if (follower_.ApplyUpdate(update)) Changed();
    HeadTaken();
    return done(true);
  }
  store_->Read(
      SnapshotObject(head.snapshot_version),
      [this, head, done](StoreStatus status, const StoredObject& snapshot) {
        if (status != StoreStatus::kOk) return done(false);
        OfferHead(head, DecodeSnapshot(snapshot));
        HeadTaken();
        done(true);
      });
}

void ConfigService::HeadTaken() {
  has_read_head_ = true;
  startup_.OnStoreResponse();
}

void ConfigService::OfferHead(const ConfigHead& head,
                              const QJsonObject& snapshot) {
  const auto built =
      Capture([&] { return BuildConfiguration(head, snapshot); });
  if (const auto* error = std::get_if<Error>(&built)) {
    kLog.Error("The configuration in the store is bad: {}.", error->message);
    return;
  }
  if (follower_.AdoptIfNewer(std::get<Configuration>(built), head.patches)) {
    Changed();
  }
}

void ConfigService::Changed() {
  kLog.Info("Version {} is in force.", current().version());
  startup_.OnVersion(current().version());
  on_change_(current());
  const auto message =
      QCborValue(QCborArray{QString::fromStdString(settings_.daemon),
                            static_cast<qint64>(current().version())})
          .toCbor();
  // A few peers hear of it at once and tell others; probes do the rest. One
  // of another zone is among them, for zones without a watch.
  auto peers = fleet_->NearestFor(settings_.daemon +
                                  std::to_string(current().version()));
  if (peers.size() > kEagerPeers) {
    std::swap(peers[kEagerPeers - 1], peers.back());
    peers.resize(kEagerPeers);
  }
  for (const auto& peer : peers) {
    fleet_->Call(peer, "config-version", message, kPullTimeout,
                 [](PeerStatus, const QByteArray&) {});
  }
}

void ConfigService::OnVersionSeen(const Member& peer, std::int64_t version) {
  startup_.OnPeerVersion(version);
  if (fleet_->HasAskedSeeds()) startup_.OnPeersQueried();
  if (version > current().version()) PullFrom(peer);
}

void ConfigService::PullFrom(const Member& peer) {
  if (pulling_ || stopped_) return;
  pulling_ = true;
  fleet_->Call(
      peer, "config",
      QByteArray::number(static_cast<qint64>(current().version())),
      kPullTimeout, [this](PeerStatus status, const QByteArray& body) {
        pulling_ = false;
        if (status != PeerStatus::kOk || stopped_) return;
        const auto update =
            Capture([&] { return ConfigFollower::Update::Decode(body); });
        if (std::holds_alternative<Error>(update)) return;
        if (follower_.ApplyUpdate(std::get<ConfigFollower::Update>(update))) {
          Changed();
        }
      });
}

void ConfigService::ServePull(const QByteArray& message,
                              const PeerNode::Reply& reply) {
  reply(follower_.UpdateSince(message.toLongLong()).Encode());
}

void ConfigService::Apply(const ConfigPatch& patch, PatchDone done) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->patch = patch;
  attempt->done = std::move(done);
  attempt->give_up = MonotonicNow() + kPatchTime;
  ReadForPatch(attempt);
}

void ConfigService::RetryPatch(const std::shared_ptr<Attempt>& attempt) {
  if (MonotonicNow() < attempt->give_up) {
    QTimer::singleShot(kRetryMs, &timer_,
                       [this, attempt] { ReadForPatch(attempt); });
    return;
  }
  const auto code = attempt->may_be_written ? ResultCode::kPatchOutcomeUnknown
                                            : ResultCode::kStoreUnavailable;
  attempt->done(
      {{code, std::string(InfoOf(code).meaning)}, current().version()});
}

void ConfigService::ReadForPatch(const std::shared_ptr<Attempt>& attempt) {
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
    if (snapshot_version == 0) return DecideOnHead(attempt, object, {});
    store_->Read(SnapshotObject(snapshot_version),
                 [this, attempt, object](StoreStatus read,
                                         const StoredObject& snapshot) {
                   if (read != StoreStatus::kOk) return RetryPatch(attempt);
                   DecideOnHead(attempt, object, DecodeSnapshot(snapshot));
                 });
  });
}

void ConfigService::DecideOnHead(const std::shared_ptr<Attempt>& attempt,
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
      OfferHead(head, snapshot);
      return attempt->done({{ResultCode::kOk, ""}, decision.version});
    case PatchDecision::Kind::kAccept:
      break;
  }
  const auto compaction = CompactHead(decision.head, snapshot);
  if (!compaction.needed) {
    return WriteHead(attempt, object, decision.head, snapshot);
  }
  store_->Write(
      SnapshotObject(compaction.snapshot_version), 0,
      QJsonDocument(compaction.snapshot).toJson(QJsonDocument::Compact),
      [this, attempt, object, compaction](StoreStatus status, std::int64_t) {
        // A conflict means that the same snapshot is there already.
        if (status == StoreStatus::kUnavailable) return RetryPatch(attempt);
        WriteHead(attempt, object, compaction.head, compaction.snapshot);
      });
}

void ConfigService::WriteHead(const std::shared_ptr<Attempt>& attempt,
                              const StoredObject& object,
                              const ConfigHead& head,
                              const QJsonObject& snapshot) {
  store_->Write(
      kHeadObject, object.version, head.Encode(),
      [this, attempt, head, snapshot](StoreStatus status, std::int64_t) {
        if (status == StoreStatus::kOk) {
          OfferHead(head, snapshot);
          return attempt->done({{ResultCode::kOk, ""}, head.Version()});
        }
        attempt->may_be_written |= status == StoreStatus::kUnavailable;
        // Reads back: the patch is found by its id, or it is stale.
        RetryPatch(attempt);
      });
}

}  // namespace firmoor
