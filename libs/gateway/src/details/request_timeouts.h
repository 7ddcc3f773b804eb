#ifndef FIRMOOR_GATEWAY_DETAILS_REQUEST_TIMEOUTS_H_
#define FIRMOOR_GATEWAY_DETAILS_REQUEST_TIMEOUTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/dialect.h"
#include "routing/route_table.h"

namespace firmoor::details {

/// Added to the route's timeout, which callers count from when they send.
constexpr Duration kRouteTimeoutGrace{50};

/// Callers disconnect by themselves at their deadline, perhaps a little later;
/// the response is not cut off before they do.
constexpr Duration kDeadlineGrace{500};

/// The shorter of the caller's and the route's time.
Duration EffectiveCallerTimeout(const ForwardRequest& request,
                                const Route& route);

/// Time after which a started stream fails: that of the route that it was
/// admitted under, or of its route in the `newest` configuration if longer.
Duration StreamTimeout(const ForwardRequest& request, const Route& route,
                       const RouteTable& newest);

/// What has arrived of a stream.
struct StreamProgress {
  std::size_t events = 0;
  std::int64_t tokens_per_event = 1;
  Duration elapsed{0};  ///< Since the first event.
};

/// Expected time until the engine has generated the rest of the stream; empty
/// if too little is known.
std::optional<Duration> RemainingGenerationTime(const ForwardRequest& request,
                                                const StreamProgress& progress);

/// Silence after which another daemon that accepted a request of `route` has
/// failed: longer than it waits for a silent upstream itself.
Duration PeerSilenceBound(const Route& route);

/// Time after which a request fails that has no part of its response yet.
Duration RequestTimeout(const ForwardRequest& request, const Route& route);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_REQUEST_TIMEOUTS_H_
