#include "gateway/request_admission.h"

namespace firmoor {
namespace {

// Another daemon mostly has a recent configuration, so callers come back soon.
constexpr Duration kNotReadyRetryDelay{100};
// Streams that arrive later than this after the start of a stop go elsewhere.
constexpr Duration kStreamDrainWindow{2'500};
// Part of a plain route's timeout that its requests hardly ever exceed.
constexpr int kTimeoutDivisor = 2;

Failure Rejection(ResultCode code, const std::string& message) {
  return {{code, message}, RequestOutcome::kNotRun, std::nullopt};
}

Failure NotReady(const std::string& message) {
  auto failure = Rejection(ResultCode::kNotReady, message);
  failure.retry_after = kNotReadyRetryDelay;
  return failure;
}

}  // namespace

bool IsSlotWaitTooLong(const Route& route, Duration wait) {
  // Part of the objective that may be spent on a slot; the rest is for prompts
  // that are read before, and the own one.
  constexpr int kWaitDivisor = 4;
  return wait > route.objective / kWaitDivisor;
}

bool AcceptsWhileDraining(const Route& route, const DrainState& drain,
                          TimePoint now) {
  if (route.kind == RequestKind::kStream) {
    return now - drain.started_at < kStreamDrainWindow;
  }
  return drain.ends_at - now > route.timeout / kTimeoutDivisor;
}

std::variant<RequestAdmission, Failure> AdmitRequest(
    const ForwardRequest& request, const RouteTable* table,
    const ConfigFreshness& freshness, TimePoint now) {
  if (table == nullptr) return NotReady("No configuration was read yet");
  const bool fresh = freshness.IsFresh(now);
  const auto* route = table->Match(request.host, request.Path());
  if (route == nullptr) {
    if (!fresh) return NotReady("The configuration may be out of date");
    return Rejection(ResultCode::kUnknownService, "No route has this path");
  }
  const bool needs_key = !route->is_public && table->NeedsKeys();
  if (!needs_key) return RequestAdmission{route, nullptr};
  if (!fresh) return NotReady("Keys cannot be checked now");
  const auto* workspace = table->FindWorkspaceByKey(request.key);
  if (workspace == nullptr) {
    return Rejection(ResultCode::kUnauthorized, "No workspace holds this key");
  }
  return RequestAdmission{route, workspace};
}

}  // namespace firmoor
