#include "details/request_timeouts.h"

#include <algorithm>

namespace firmoor::details {

Duration EffectiveCallerTimeout(const ForwardRequest& request,
                                const Route& route) {
  return request.caller_timeout
             ? std::min(*request.caller_timeout, route.timeout)
             : route.timeout;
}

Duration RequestTimeout(const ForwardRequest& request, const Route& route) {
  const auto route_end = route.timeout + kRouteTimeoutGrace;
  if (!request.caller_timeout) return route_end;
  return std::min(*request.caller_timeout + kDeadlineGrace, route_end);
}

}  // namespace firmoor::details
