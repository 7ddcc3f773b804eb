#ifndef FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_
#define FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_

#include <variant>

#include "base/time.h"
#include "gateway/dialect.h"
#include "routing/config_freshness.h"
#include "routing/route_table.h"
#include "serving/error_answer.h"

namespace firmoor {

/// What the configuration says of a request that may go on.
struct RequestAdmission {
  const Route* route = nullptr;
  const WorkspaceProfile* workspace = nullptr;  ///< Null on public routes.

  /// Rank of the request; 0 is the most urgent.
  [[nodiscard]] int Priority() const {
    return workspace != nullptr && workspace->priority ? *workspace->priority
                                                       : route->priority;
  }

  bool operator==(const RequestAdmission&) const = default;
};

/// How far a daemon is with its stop.
struct DrainState {
  TimePoint started_at;
  TimePoint ends_at;  ///< When the process ends.

  bool operator==(const DrainState&) const = default;
};

/// Whether a daemon that stops takes a request on a connection that its caller
/// kept open: only when the answer will have ended before the process does.
/// Streams may take long, so they are taken only shortly after the start of
/// the stop; others can be answered within their route's timeout. Pure.
bool AcceptsWhileDraining(const Route& route, const DrainState& drain,
                          TimePoint now);

/// Whether a request that would wait so long for a slot of an engine is refused
/// instead: it would hardly start within its objective, and its caller can come
/// back sooner than it would be answered. Pure.
bool IsSlotWaitTooLong(const Route& route, Duration wait);

/// Checks a request against the configuration: its route, its key, and that
/// the configuration is proved recent enough to believe the key. A daemon
/// that may have missed a change says that it is not ready instead of calling
/// a route or key unknown. `table` may be null. Pure.
std::variant<RequestAdmission, Failure> AdmitRequest(
    const ForwardRequest& request, const RouteTable* table,
    const ConfigFreshness& freshness, TimePoint now);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_
