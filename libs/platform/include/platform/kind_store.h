#ifndef FIRMOOR_PLATFORM_KIND_STORE_H_
#define FIRMOOR_PLATFORM_KIND_STORE_H_

#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/object_store.h"
#include "platform/store_version.h"

namespace firmoor {

/// An object of some kind with the content that its writer stored.
struct KindObject {
  std::string name;
  QJsonObject content;

  bool operator==(const KindObject&) const = default;
};

/// A change of an object. Only the name is meaningful if it was removed.
struct KindChange {
  KindObject object;
  bool removed = false;

  bool operator==(const KindChange&) const = default;
};

/// All objects of a kind. Waiting for changes after `version` misses none.
struct KindListing {
  StoreStatus status = StoreStatus::kUnavailable;
  StoreVersion version;
  std::vector<KindObject> objects;
};

/// Changes of a kind's objects up to a version of the store.
struct KindChanges {
  StoreStatus status = StoreStatus::kUnavailable;
  StoreVersion version;
  std::vector<KindChange> changes;
  /// Whether the answer is from the store itself and so includes all changes
  /// before the request. Otherwise another daemon relayed it, which may lag.
  bool is_direct = true;
};

/// Read access to the objects that others keep in the platform's store: by
/// listing them and then watching for changes. Answers are linearizable.
/// Callbacks run in the event loop, once for each call; none runs after the
/// store is deleted.
class KindStore {
 public:
  virtual ~KindStore() = default;

  /// Reads all objects of `kind`.
  virtual void List(const std::string& kind,
                    std::function<void(KindListing)> done) = 0;

  /// Long poll: answers once there are changes after `version`, or without
  /// changes after `wait`. On `kHistoryGone`, which is also the answer if the
  /// store has entered another era, the caller must list again.
  virtual void WaitForChanges(const std::string& kind, StoreVersion version,
                              Duration wait,
                              std::function<void(KindChanges)> done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_KIND_STORE_H_
