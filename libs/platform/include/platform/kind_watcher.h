#ifndef FIRMOOR_PLATFORM_KIND_WATCHER_H_
#define FIRMOOR_PLATFORM_KIND_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/kind_store.h"

namespace firmoor {

/// Watches the objects of one kind: lists them once, then waits for changes in
/// a loop, and lists them again if the store no longer has the changes asked
/// for or has entered another era. Never applies answers of an earlier era than
/// the latest one known. Retries failed calls with exponential backoff. Runs in
/// the event loop.
class KindWatcher {
 public:
  struct Hooks {
    /// All objects, as they were at some time after `requested_at`.
    std::function<void(const std::vector<KindObject>&, TimePoint requested_at)>
        on_list;
    /// Changes since the last call, possibly none. They include everything that
    /// changed before `confirmed_at`; without it, changes may be missing.
    std::function<void(const std::vector<KindChange>&,
                       std::optional<TimePoint> confirmed_at)>
        on_changes;
    /// A call failed; the objects may be outdated from now on.
    std::function<void()> on_outage;
    /// The first call after a failure succeeded.
    std::function<void()> on_recovered;
  };

  /// `wait`: longest time that one call waits for changes. `batch_delay`: delay
  /// before the next call after changes, so that rapid changes arrive together.
  KindWatcher(KindStore* store, std::string kind, Duration wait,
              Duration batch_delay, Hooks hooks);
  ~KindWatcher();

  void Start();
  void Stop();

  /// Checks for changes immediately, in parallel to the waiting call. Does
  /// nothing while such a check is in progress.
  void CheckNow();

  /// Abandons the waiting call and starts another one that returns at once. For
  /// use after an outage that others saw: the call may have been lost in it,
  /// and would delay changes until it times out.
  void RestartWait();

  /// The store has entered `era`, as heard from elsewhere. Lists at once unless
  /// the objects are of that era: a waiting call of an earlier era may stay
  /// silent until it times out.
  void OnStoreEra(std::int64_t era);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_KIND_WATCHER_H_
