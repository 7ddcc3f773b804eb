#ifndef FIRMOOR_PLATFORM_HTTP_OBJECT_STORE_H_
#define FIRMOOR_PLATFORM_HTTP_OBJECT_STORE_H_

#include <memory>

#include "http/message.h"
#include "platform/object_store.h"

namespace firmoor {

/// Client of the object API over HTTP, using Qt's network access manager.
///
/// The manager may resend a request when a keep-alive connection closes. This
/// is harmless because every write names the version that it replaces, and
/// callers read the object again on `kConflict`. Callbacks run in the event
/// loop; none runs after the store is deleted.
///
/// Protocol: `GET /objects/NAME`, `PUT /objects/NAME?if-version=V` and
/// `GET /watch/NAME?after=V`; the header `Object-Version` carries the
/// version, 404 and 409 stand for `kNotFound` and `kConflict`.
class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(const Endpoint& endpoint);
  ~HttpObjectStore() override;

  void Read(const std::string& name, ReadDone done) override;
  void Write(const std::string& name, StoreVersion expected,
             const QByteArray& value, WriteDone done) override;
  void Watch(const std::string& name, StoreVersion after,
             ReadDone done) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_HTTP_OBJECT_STORE_H_
