#ifndef FIRMOOR_PEER_DETAILS_PEER_STREAM_IMPL_H_
#define FIRMOOR_PEER_DETAILS_PEER_STREAM_IMPL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "details/http2_connection.h"
#include "peer/peer_stream.h"

namespace firmoor {

struct PeerStream::Impl {
  std::weak_ptr<details::Http2Connection> connection;
  std::uint64_t id = 0;  ///< Of the call on the connection.
  std::shared_ptr<details::SeriesCall> call;
  TimePoint opened_at;
  /// Tells the node how the stream ended.
  std::function<void(const Impl&)> on_released;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_DETAILS_PEER_STREAM_IMPL_H_
