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

/// Keeps the configuration up to date and applies operators' patches.
///
/// Two daemons per availability zone, chosen by rendezvous hashing, watch the
/// object store. All others learn of new versions from membership probes and
/// fetch the patches from the peer that has them. A zone that cannot reach the
/// platform therefore stays up to date as long as it reaches another zone.
class ConfigService {
 public:
  /// Result of an operator's patch.
  struct PatchResult {
    Error error;  ///< Code `kOk` if the patch is in effect.
    std::int64_t version = 0;
  };
  using PatchDone = std::function<void(const PatchResult&)>;

  ConfigService(const Settings& settings, ObjectStore* store,
                std::function<void(const Configuration&)> on_change);

  /// Must be called before `Start`. `fleet` must outlive this.
  void SetFleet(Fleet* fleet);
  void Start();
  void Stop();

  [[nodiscard]] const Configuration& current() const {
    return follower_.current();
  }
  /// Whether this daemon knows which version is in effect.
  [[nodiscard]] bool IsKnown() const { return startup_.IsKnown(); }

  /// Called when `peer` has reported that it has `version`; fetches it if
  /// newer.
  void OnVersionSeen(const Member& peer, std::int64_t version);

  /// Applies a patch with a conditional write to the store. A patch that is
  /// sent again is recognised by its id.
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
  StoreVersion head_object_version_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_CONFIG_SERVICE_H_
