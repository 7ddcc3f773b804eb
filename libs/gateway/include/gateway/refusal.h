#ifndef FIRMOOR_GATEWAY_REFUSAL_H_
#define FIRMOOR_GATEWAY_REFUSAL_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "serving/error_answer.h"

namespace firmoor {

/// Error response to a request that the gateway itself rejects. Like
/// `MakeErrorAnswer`, but with `Retry-After` in fractions of a second, so that
/// callers with short deadlines can retry in time.
HttpResponse MakeGatewayRefusal(const Failure& failure,
                                std::string_view request_id);

/// The code and outcome that a response names if it is an error response of a
/// gateway, empty if it is the response of an upstream.
struct GatewayRefusal {
  ResultCode code = ResultCode::kInternal;
  RequestOutcome outcome = RequestOutcome::kUnknown;

  bool operator==(const GatewayRefusal&) const = default;
};
std::optional<GatewayRefusal> ReadGatewayRefusal(const HttpResponse& response);

/// Retry delay for the caller of `request_id`: `earliest` plus a jitter that is
/// derived from the id, so that callers do not retry all at once. Pure.
Duration JitteredRetryDelay(Duration earliest, std::string_view request_id);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_REFUSAL_H_
