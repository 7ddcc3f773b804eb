#ifndef FIRMOOR_GATEWAY_REFUSAL_H_
#define FIRMOOR_GATEWAY_REFUSAL_H_

#include <string_view>

#include "base/time.h"
#include "serving/error_answer.h"

namespace firmoor {

/// The answer to a request that the gateway itself ends. As
/// `MakeErrorAnswer`, with `Retry-After` in fractions of a second, so that
/// callers with short deadlines can come back in time.
HttpAnswer MakeGatewayRefusal(const Failure& failure,
                              std::string_view request_id);

/// When the caller of `request_id` may come back, at `earliest` or later: at
/// another moment for each request, so that not all return at once. Pure.
Duration JitteredRetryDelay(Duration earliest, std::string_view request_id);

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_REFUSAL_H_
