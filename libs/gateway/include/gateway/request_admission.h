#ifndef FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_
#define FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_

#include <variant>

#include "base/time.h"
#include "gateway/dialect.h"
#include "routing/config_freshness.h"
#include "routing/route_table.h"
#include "serving/error_answer.h"

namespace firmoor {

/// Route and workspace of an admitted request.
struct RequestAdmission {
  const Route* route = nullptr;
  const WorkspaceProfile* workspace = nullptr;  ///< Null on public routes.

  /// Priority of the request; 0 is the highest.
  [[nodiscard]] int Priority() const {
    return workspace != nullptr && workspace->priority ? *workspace->priority
                                                       : route->priority;
  }

  bool operator==(const RequestAdmission&) const = default;
};

/// When a daemon started to drain and when it stops.
struct DrainState {
  TimePoint started_at;
  TimePoint ends_at;  ///< When the process ends.

  bool operator==(const DrainState&) const = default;
};

/// Whether a draining daemon accepts a request on a connection that is still
/// open: only when the response is expected to end before the process does.
/// Streams may take long, so they are accepted only shortly after the drain
/// started; other requests end within their route's timeout. Pure.
bool AcceptsWhileDraining(const Route& route, const DrainState& drain,
                          TimePoint now);

/// Whether a request with this expected wait for an engine slot is rejected: it
/// would probably miss its latency objective, and the caller can retry before
/// it would be served. Pure.
bool IsSlotWaitTooLong(const Route& route, Duration wait);

/// Checks a request against the configuration: its route, its API key, and
/// that the configuration was confirmed recently enough to accept the key. A
/// daemon that may have missed a change responds that it is not ready rather
/// than that a route or key is unknown. `table` may be null. Pure.
std::variant<RequestAdmission, Failure> AdmitRequest(
    const ForwardRequest& request, const RouteTable* table,
    const ConfigFreshness& freshness, TimePoint now);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_REQUEST_ADMISSION_H_
