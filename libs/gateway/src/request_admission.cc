#include "gateway/request_admission.h"

namespace firmoor {
namespace {

// Callers can retry soon: another daemon probably has a recent configuration.
constexpr Duration kNotReadyRetryDelay{100};
// Streams are accepted for this long after the drain started.
constexpr Duration kStreamDrainWindow{2'500};
// Requests that are no streams rarely take longer than their route's timeout
// divided by this.
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
  // Fraction of the latency objective that may be spent on waiting for a slot;
  // the rest is for the prefill of earlier prompts and of its own.
  constexpr int kWaitDivisor = 4;
  return wait > route.objective / kWaitDivisor;
}

bool AcceptsWhileDraining(const Route& route, const DrainState& drain,
                          TimePoint now) {
  if (route.kind == RequestKind::kStream) {
    return now < drain.ends_at && now - drain.started_at < kStreamDrainWindow;
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
