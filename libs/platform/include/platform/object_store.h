#ifndef FIRMOOR_PLATFORM_OBJECT_STORE_H_
#define FIRMOOR_PLATFORM_OBJECT_STORE_H_

#include <QByteArray>
#include <functional>
#include <string>

#include "platform/store_version.h"

namespace firmoor {

/// How a call to the object API ended.
enum class StoreStatus {
  kOk,
  kNotFound,     ///< No such object.
  kConflict,     ///< The object is not at the expected version.
  kHistoryGone,  ///< The store no longer has the requested changes.
  kUnavailable,  ///< No answer; a write may have taken effect.
};

/// An object of the platform's store.
struct StoredObject {
  /// Increases with each write. Revision 0: no object, in this era.
  StoreVersion version;
  QByteArray value;

  bool operator==(const StoredObject&) const = default;
};

/// The platform's object API, which holds all persistent and shared state.
/// Reads may return an older version than the last write; conditional writes
/// are linearizable.
class ObjectStore {
 public:
  using ReadDone = std::function<void(StoreStatus, StoredObject)>;
  using WriteDone = std::function<void(StoreStatus, StoreVersion version)>;

  virtual ~ObjectStore() = default;

  virtual void Read(const std::string& name, ReadDone done) = 0;

  /// Compare-and-set: writes `value` only if the object is at version
  /// `expected` (revision 0: only if there is no such object). Answers
  /// `kUnavailable` if the store has entered another era since `expected` was
  /// read: its revisions do not tell then what was replaced.
  virtual void Write(const std::string& name, StoreVersion expected,
                     const QByteArray& value, WriteDone done) = 0;

  /// Long poll: answers once the object is newer than version `after`, or
  /// `kNotFound` if it has not changed within the store's maximum wait.
  virtual void Watch(const std::string& name, StoreVersion after,
                     ReadDone done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_OBJECT_STORE_H_
