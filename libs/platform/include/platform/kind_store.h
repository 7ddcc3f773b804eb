#ifndef FIRMOOR_PLATFORM_KIND_STORE_H_
#define FIRMOOR_PLATFORM_KIND_STORE_H_

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/object_store.h"

namespace firmoor {

/// An object of a kind, as its writer wrote it.
struct KindObject {
  std::string name;
  QJsonObject content;

  bool operator==(const KindObject&) const = default;
};

/// A change of an object; of a removed one only the name counts.
struct KindChange {
  KindObject object;
  bool removed = false;

  bool operator==(const KindChange&) const = default;
};

/// All objects of a kind at one revision of the store.
struct KindListing {
  StoreStatus status = StoreStatus::kUnavailable;
  std::int64_t revision = 0;
  std::vector<KindObject> objects;
};

/// Changes of a kind up to a revision of the store.
struct KindChanges {
  StoreStatus status = StoreStatus::kUnavailable;
  std::int64_t revision = 0;
  std::vector<KindChange> changes;
  /// From the store itself, so that nothing else had changed when it was
  /// asked; otherwise through another daemon, which may be behind.
  bool is_direct = true;
};

/// Objects that others keep in the platform's store: read whole, then followed
/// by their changes. Answers are linearizable. Callbacks run in the event loop,
/// once for each call; none runs after the store is deleted.
class KindStore {
 public:
  virtual ~KindStore() = default;

  /// Reads all objects of `kind`.
  virtual void List(const std::string& kind,
                    std::function<void(KindListing)> done) = 0;

  /// Answers when there are changes after `revision`, or without any after
  /// `wait`. `kHistoryGone`: list again.
  virtual void WaitForChanges(const std::string& kind, std::int64_t revision,
                              Duration wait,
                              std::function<void(KindChanges)> done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_KIND_STORE_H_
