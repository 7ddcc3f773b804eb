#ifndef FIRMOOR_SERVING_ATTEMPT_POLICY_H_
#define FIRMOOR_SERVING_ATTEMPT_POLICY_H_

#include <cstddef>
#include <string_view>

#include "base/result_code.h"
#include "base/time.h"
#include "http/http_call.h"

namespace firmoor {

/// What is known of whether a request ran.
enum class RequestOutcome { kNotRun, kRan, kUnknown };

/// "not-run", "ran" or "unknown".
std::string_view NameOf(RequestOutcome outcome);

/// How one attempt at an upstream ended.
struct AttemptEnd {
  HttpCallEnd end = HttpCallEnd::kNotConnected;
  bool may_have_left = false;     ///< A byte of the request may have left.
  bool declared_not_run = false;  ///< The upstream said it did not run.
  bool stream_complete = true;    ///< A stream had its end marker.
  bool overloaded = false;        ///< The upstream said to come back later.
  bool failed = false;            ///< The whole answer says that it failed.

  bool operator==(const AttemptEnd&) const = default;
};

/// Most attempts for one request.
constexpr int kMaxAttempts = 4;

/// What is known of the request when an attempt ends.
struct AttemptContext {
  bool idempotent = false;
  bool answer_started = false;  ///< Bytes of an answer reached the caller.
  bool resumable = false;       ///< A generation can go on elsewhere.
  int attempts = 1;             ///< Including the one that ended.
  int max_attempts = kMaxAttempts;
  Duration time_left{0};         ///< Until the deadline.
  bool retry_allowed = true;     ///< The retry budget grants one.
  bool earlier_unknown = false;  ///< An earlier attempt may have run.

  bool operator==(const AttemptContext&) const = default;
};

/// What to do after an attempt.
enum class NextStep {
  kPassAnswer,       ///< The answer is whole.
  kRetryElsewhere,   ///< Send it to another upstream from the start.
  kResumeElsewhere,  ///< Go on from the tokens passed so far.
  kFail,             ///< Answer with `code` and `outcome` at once.
};

/// "pass-answer", "retry-elsewhere", "resume-elsewhere" or "fail", for logs.
std::string_view NameOf(NextStep step);

struct AttemptDecision {
  NextStep step = NextStep::kFail;
  ResultCode code = ResultCode::kInternal;
  RequestOutcome outcome = RequestOutcome::kUnknown;

  bool operator==(const AttemptDecision&) const = default;
};

/// Least time that must be left for another attempt.
constexpr Duration kMinTimeForAttempt{50};

/// Whether the request ran at this attempt's upstream, as far as is known.
RequestOutcome OutcomeOf(const AttemptEnd& end);

/// Decides what follows an attempt. A request that is not idempotent goes to
/// another upstream only when it is certain that it did not run. Pure.
AttemptDecision DecideAttempt(const AttemptEnd& end,
                              const AttemptContext& context);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ATTEMPT_POLICY_H_
