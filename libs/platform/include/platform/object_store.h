#ifndef FIRMOOR_PLATFORM_OBJECT_STORE_H_
#define FIRMOOR_PLATFORM_OBJECT_STORE_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <string>

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
  std::int64_t version = 0;  ///< Increases with each write; 0: no object.
  QByteArray value;

  bool operator==(const StoredObject&) const = default;
};

/// The platform's object API, which holds all persistent and shared state.
/// Reads may return an older version than the last write; conditional writes
/// are linearizable.
class ObjectStore {
 public:
  using ReadDone = std::function<void(StoreStatus, StoredObject)>;
  using WriteDone = std::function<void(StoreStatus, std::int64_t version)>;

  virtual ~ObjectStore() = default;

  virtual void Read(const std::string& name, ReadDone done) = 0;

  /// Compare-and-set: writes `value` only if the object is at version
  /// `expected` (0: only if there is no such object).
  virtual void Write(const std::string& name, std::int64_t expected,
                     const QByteArray& value, WriteDone done) = 0;

  /// Long poll: answers once the object is newer than version `after`, or
  /// `kNotFound` if it has not changed within the store's maximum wait.
  virtual void Watch(const std::string& name, std::int64_t after,
                     ReadDone done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_OBJECT_STORE_H_
