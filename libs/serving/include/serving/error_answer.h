#ifndef FIRMOOR_SERVING_ERROR_ANSWER_H_
#define FIRMOOR_SERVING_ERROR_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"
#include "serving/attempt_policy.h"

namespace firmoor {

/// A failure that is reported to a caller.
struct Failure {
  Error error;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::optional<Duration> retry_after;

  bool operator==(const Failure&) const = default;
};

/// JSON object of a failure for answer bodies and error events of streams.
std::string FailureJson(const Failure& failure, std::string_view request_id);

/// Answer with the status and body of the result code, the outcome, and
/// `Retry-After` in whole seconds, rounded up.
HttpResponse MakeErrorAnswer(const Failure& failure,
                             std::string_view request_id);

/// Answer to input that could not be parsed as a request, for the HTTP status
/// that the parser chose.
HttpResponse MakeInputErrorResponse(int status);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ERROR_ANSWER_H_
