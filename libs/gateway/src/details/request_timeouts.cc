#include "details/request_timeouts.h"

#include <algorithm>

namespace firmoor::details {

Duration EffectiveCallerTimeout(const ForwardRequest& request,
                                const Route& route) {
  return request.caller_timeout
             ? std::min(*request.caller_timeout, route.timeout)
             : route.timeout;
}

Duration StreamTimeout(const ForwardRequest& request, const Route& route,
                       const RouteTable& newest) {
  const auto* current = newest.Match(request.host, request.Path());
  return kRouteTimeoutGrace + (current == nullptr
                                   ? route.timeout
                                   : std::max(route.timeout, current->timeout));
}

std::optional<Duration> RemainingGenerationTime(
    const ForwardRequest& request, const StreamProgress& progress) {
  const auto events = static_cast<double>(progress.events);
  if (events < 2 || request.max_output_tokens <= 0) return std::nullopt;
  const double expected_events =
      request.max_output_tokens /
      static_cast<double>(std::max<std::int64_t>(1, progress.tokens_per_event));
  const double ms_per_event =
      static_cast<double>(progress.elapsed.count()) / (events - 1);
  return Duration(static_cast<std::int64_t>(
      std::max(0.0, expected_events - events) * ms_per_event));
}

Duration PeerSilenceBound(const Route& route) {
  constexpr Duration kMargin{1'000};
  constexpr Duration kMinSilence{1'500};
  constexpr int kFirstByteTimeoutObjectives = 3;
  return kMargin +
         std::max(kMinSilence, route.objective * kFirstByteTimeoutObjectives);
}

Duration RequestTimeout(const ForwardRequest& request, const Route& route) {
  const auto route_end = route.timeout + kRouteTimeoutGrace;
  if (!request.caller_timeout) return route_end;
  return std::min(*request.caller_timeout + kDeadlineGrace, route_end);
}

}  // namespace firmoor::details
