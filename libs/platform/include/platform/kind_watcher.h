#ifndef FIRMOOR_PLATFORM_KIND_WATCHER_H_
#define FIRMOOR_PLATFORM_KIND_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/kind_store.h"

namespace firmoor {

/// Keeps up with the objects of one kind: lists them once, then waits for
/// changes again and again; lists again when the history is gone. Failed calls
/// are repeated with growing pauses. Lives in the event loop.
class KindWatcher {
 public:
  struct Hooks {
    /// The whole content, as of a moment after `asked_at`.
    std::function<void(const std::vector<KindObject>&, TimePoint requested_at)>
        on_list;
    /// Some changes, and that nothing else changed before `confirmed_at`; none
    /// when that is not known. Also called without changes.
    std::function<void(const std::vector<KindChange>&,
                       std::optional<TimePoint> confirmed_at)>
        on_changes;
    /// A call failed; the content may be old from now on.
    std::function<void()> on_outage;
    /// The first answer after a failure.
    std::function<void()> on_recovered;
  };

  /// `wait`: longest time that one call waits for changes. `rest`: pause after
  /// changes, so that many in a row are taken together.
  KindWatcher(KindStore* store, std::string kind, Duration wait,
              Duration batch_delay, Hooks hooks);
  ~KindWatcher();

  void Start();
  void Stop();

  /// Asks at once whether there are changes, beside the call that waits. Does
  /// nothing while such a question is under way.
  void CheckNow();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_KIND_WATCHER_H_
