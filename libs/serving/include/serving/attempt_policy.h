#ifndef FIRMOOR_SERVING_ATTEMPT_POLICY_H_
#define FIRMOOR_SERVING_ATTEMPT_POLICY_H_

#include <cstddef>
#include <string_view>

#include "base/result_code.h"
#include "base/time.h"
#include "http/http_call.h"
#include "serving/close_delimited_streams.h"

namespace firmoor {

/// Whether an upstream executed a request, as far as is known.
enum class RequestOutcome { kNotRun, kRan, kUnknown };

/// "not-run", "ran" or "unknown".
std::string_view NameOf(RequestOutcome outcome);

/// How one attempt at an upstream ended.
struct AttemptEnd {
  HttpCallEnd end = HttpCallEnd::kNotConnected;
  bool may_have_been_sent = false;  ///< Request bytes may have been sent.
  bool declared_not_run = false;    ///< The upstream reported it not executed.
  bool stream_complete = true;      ///< False: a stream lacks its end marker.
  /// That a response which ended is complete.
  EndCredibility credibility = EndCredibility::kShown;
  bool overloaded = false;  ///< The upstream asked to retry later.
  bool failed = false;      ///< The complete answer reports an error.

  bool operator==(const AttemptEnd&) const = default;
};

/// Upper limit of attempts for one request.
constexpr int kMaxAttempts = 4;

/// A retry needs at least this much time before the deadline.
constexpr Duration kMinTimeForAttempt{50};

/// State of the request when an attempt ends.
struct AttemptContext {
  bool idempotent = false;
  bool answer_started = false;  ///< Answer bytes were sent to the caller.
  bool resumable = false;       ///< Another upstream can continue it.
  int attempts = 1;             ///< Includes the one that just ended.
  int max_attempts = kMaxAttempts;
  /// Whether an upstream that ran the request earlier can be asked what follows
  /// the answer of another one, which is no further upstream.
  bool may_ask_earlier = false;
  Duration time_left{0};         ///< Until the deadline.
  bool retry_allowed = true;     ///< By the retry budget.
  bool earlier_unknown = false;  ///< An earlier attempt may have run.

  bool operator==(const AttemptContext&) const = default;
};

/// Why no further attempt may start, the first reason.
enum class AttemptObstacle {
  kNone,
  kRoute,     ///< The request must not run again.
  kPlace,     ///< The caller has a part, and nobody can go on behind it.
  kAttempts,  ///< All that the route allows were made.
  kTime,
  kBudget,
};

/// "none", "route" and so on, for logs.
std::string_view NameOf(AttemptObstacle obstacle);

/// What keeps a request that may have run from a further attempt.
AttemptObstacle ObstacleToAttempt(const AttemptContext& context);
/// What keeps an upstream from being asked what follows its answer.
AttemptObstacle ObstacleToQuestion(AttemptContext context);

/// What to do after an attempt has ended.
enum class NextStep {
  kPassAnswer,       ///< Forward the complete answer.
  kRetryElsewhere,   ///< Start again at another upstream.
  kResumeElsewhere,  ///< Continue after the tokens forwarded so far.
  kFail,             ///< Answer with `code` and `outcome`.
};

/// "pass-answer", "retry-elsewhere", "resume-elsewhere" or "fail", for logs.
std::string_view NameOf(NextStep step);

struct AttemptDecision {
  NextStep step = NextStep::kFail;
  ResultCode code = ResultCode::kInternal;
  RequestOutcome outcome = RequestOutcome::kUnknown;

  bool operator==(const AttemptDecision&) const = default;
};

/// Whether the upstream of this attempt executed the request.
RequestOutcome OutcomeOf(const AttemptEnd& end);

/// Decides what follows an attempt. A non-idempotent request is retried only
/// when it is certain that it was not executed. Performs no I/O.
AttemptDecision DecideAttempt(const AttemptEnd& end,
                              const AttemptContext& context);

/// What is known of a request without an answer when its daemon stops.
struct StopContext {
  bool may_have_run = false;  ///< An attempt was sent without a known end.
  bool key_unknown = false;   ///< An earlier request with its key may have run.

  bool operator==(const StopContext&) const = default;
};

/// The failure that such a request is answered with.
struct StopDecision {
  ResultCode code = ResultCode::kInternal;
  RequestOutcome outcome = RequestOutcome::kUnknown;

  bool operator==(const StopDecision&) const = default;
};

/// Decides the answer to a request that the daemon can neither end nor hand
/// over before it stops. Performs no I/O.
StopDecision DecideAtStop(const StopContext& context);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ATTEMPT_POLICY_H_
