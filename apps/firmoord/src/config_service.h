#ifndef FIRMOOR_FIRMOORD_CONFIG_SERVICE_H_
#define FIRMOOR_FIRMOORD_CONFIG_SERVICE_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/config_log.h"
#include "config/startup_version.h"
#include "fleet.h"
#include "platform/object_store.h"

namespace firmoor {

/// Follows the configuration and applies operators' patches.
///
/// Two daemons of each zone, chosen by rendezvous hashing, hold a watch at
/// the store; all others hear of new versions with the probes and fetch the
/// patches from the peer that has them. So a zone that is cut from the
/// platform follows as long as it reaches another zone.
class ConfigService {
 public:
  /// How an operator's patch ended.
  struct PatchResult {
    Error error;  ///< Code `kOk` when it is in force.
    std::int64_t version = 0;
  };
  using PatchDone = std::function<void(const PatchResult&)>;

  ConfigService(const Settings& settings, ObjectStore* store,
                std::function<void(const Configuration&)> on_change);

  /// Must be called before `Start`; `fleet` must outlive this.
  void SetFleet(Fleet* fleet);
  void Start();
  void Stop();

  [[nodiscard]] const Configuration& current() const {
    return follower_.current();
  }
  /// Whether this daemon knows which version is in force.
  [[nodiscard]] bool IsKnown() const { return startup_.IsKnown(); }

  /// A peer has this version.
  void OnVersionSeen(const Member& peer, std::int64_t version);

  /// Applies a patch by conditional update; repeats are resolved by its id.
  void Apply(const ConfigPatch& patch, PatchDone done);

 private:
  struct PatchAttempt;

  void Watch();
  void ApplyHead(const StoredObject& object,
                 const std::function<void(bool)>& done);
  void OnHeadRead();
  void AdoptHead(const ConfigHead& head, const QJsonObject& snapshot);
  void OnVersionChanged();
  void FetchFrom(const Member& peer);
  void ServeFetch(const QByteArray& message, const PeerNode::Reply& reply);
  [[nodiscard]] bool IsWatcher() const;

  void ReadForPatch(const std::shared_ptr<PatchAttempt>& attempt);
  void EvaluateOnHead(const std::shared_ptr<PatchAttempt>& attempt,
                      const StoredObject& object, const QJsonObject& snapshot);
  void WriteHead(const std::shared_ptr<PatchAttempt>& attempt,
                 const StoredObject& object, const ConfigHead& head,
                 const QJsonObject& snapshot);
  void RetryPatch(const std::shared_ptr<PatchAttempt>& attempt);

  Settings settings_;
  ObjectStore* store_;
  std::function<void(const Configuration&)> on_change_;
  Fleet* fleet_ = nullptr;
  ConfigFollower follower_;
  QTimer timer_;
  bool watching_ = false;
  bool stopped_ = true;
  bool fetching_ = false;
  bool has_read_head_ = false;
  StartupVersion startup_;
  std::int64_t head_object_version_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_CONFIG_SERVICE_H_
