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
  kHistoryGone,  ///< The changes asked for are not kept any more.
  kUnavailable,  ///< No answer; a write may have taken effect.
};

/// An object of the platform's store.
struct StoredObject {
  std::int64_t version = 0;  ///< Rises with each write; 0: no object.
  QByteArray value;

  bool operator==(const StoredObject&) const = default;
};

/// The platform's object API, which holds all that is agreed or kept.
/// Reads may be older than the last write; conditional writes are exact.
class ObjectStore {
 public:
  using ReadDone = std::function<void(StoreStatus, StoredObject)>;
  using WriteDone = std::function<void(StoreStatus, std::int64_t version)>;

  virtual ~ObjectStore() = default;

  virtual void Read(const std::string& name, ReadDone done) = 0;

  /// Writes when the object is at `expected` (0: creates it).
  virtual void Write(const std::string& name, std::int64_t expected,
                     const QByteArray& value, WriteDone done) = 0;

  /// Answers when the object is newer than `after`; `kNotFound` when nothing
  /// changed for the store's longest wait.
  virtual void Watch(const std::string& name, std::int64_t after,
                     ReadDone done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_OBJECT_STORE_H_
