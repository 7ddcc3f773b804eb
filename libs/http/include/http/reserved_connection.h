#ifndef FIRMOOR_HTTP_RESERVED_CONNECTION_H_
#define FIRMOOR_HTTP_RESERVED_CONNECTION_H_

#include <functional>
#include <memory>

#include "http/http_call.h"

namespace firmoor {

/// An idle connection that is opened in advance, for a call to an endpoint that
/// may accept none later. Nothing is sent on it before that call.
///
///     reserve_ = std::make_unique<ReservedConnection>(endpoint, on_closed);
///     ...
///     if (reserve_->MoveTo(&pool)) call_ = HttpFetch(endpoint, ..., &pool,
///     ...)
class ReservedConnection {
 public:
  /// Starts to connect. `on_closed` is called from the event loop when the peer
  /// closes the connection; it may delete this object. Not called for a
  /// connection that was refused or moved.
  ReservedConnection(Endpoint endpoint, std::function<void()> on_closed);
  ReservedConnection(const ReservedConnection&) = delete;
  ReservedConnection& operator=(const ReservedConnection&) = delete;
  ~ReservedConnection();

  /// Whether it was established and has not ended since.
  [[nodiscard]] bool IsOpen() const;
  /// Passes the connection to `pool`, whose next call to the endpoint uses it.
  /// Returns false if it is not open.
  bool MoveTo(HttpConnectionPool* pool);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_HTTP_RESERVED_CONNECTION_H_
