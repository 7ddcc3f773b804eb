#include "serving/attempt_policy.h"

#include "base/invariant.h"

namespace firmoor {
namespace {

ResultCode CodeForEnd(const AttemptEnd& end) {
  if (end.declared_not_run || end.overloaded) {
    return ResultCode::kUpstreamRefused;
  }
  switch (end.end) {
    case HttpCallEnd::kComplete:
    case HttpCallEnd::kTruncated:
    case HttpCallEnd::kMalformed:
    case HttpCallEnd::kTooLarge:
      return ResultCode::kUpstreamIncomplete;
    case HttpCallEnd::kNotConnected:
      return ResultCode::kNoUpstream;
    case HttpCallEnd::kNoResponse:
      return ResultCode::kUpstreamOutcomeUnknown;
    case HttpCallEnd::kTimedOut:
      return ResultCode::kUpstreamTimeout;
    case HttpCallEnd::kCancelled:
      return ResultCode::kDeadlineExceeded;
  }
  return ResultCode::kInternal;
}

bool MayRetry(const AttemptContext& context) {
  return context.attempts < context.max_attempts &&
         context.time_left >= kMinTimeForAttempt && context.retry_allowed;
}

/// What follows a response that seems to be complete.
enum class EndStep { kPass, kAskAgain, kFail };

EndStep StepAfterEnd(const AttemptEnd& end, const AttemptContext& context) {
  const bool may_ask_again =
      ObstacleToQuestion(context) == AttemptObstacle::kNone;
  switch (end.credibility) {
    case EndCredibility::kShown:
    case EndCredibility::kTrusted:
      return EndStep::kPass;
    case EndCredibility::kDue:
      return ObstacleToAttempt(context) == AttemptObstacle::kNone
                 ? EndStep::kAskAgain
                 : EndStep::kPass;
    case EndCredibility::kUnproven:
      if (may_ask_again) return EndStep::kAskAgain;
      // Its caller can ask what follows, which is no retry.
      return context.answer_started && context.resumable ? EndStep::kFail
                                                         : EndStep::kPass;
    case EndCredibility::kSuspicious:
      return may_ask_again ? EndStep::kAskAgain : EndStep::kFail;
  }
  return EndStep::kFail;
}

ResultCode FailureCode(const AttemptEnd& end, const AttemptContext& context) {
  const bool only_budget = context.attempts < context.max_attempts &&
                           context.time_left >= kMinTimeForAttempt &&
                           !context.retry_allowed;
  return only_budget ? ResultCode::kRetryBudgetExhausted : CodeForEnd(end);
}

}  // namespace

std::string_view NameOf(RequestOutcome outcome) {
  constexpr std::string_view kNames[] = {"not-run", "ran", "unknown"};
  return kNames[static_cast<int>(outcome)];
}

std::string_view NameOf(AttemptObstacle obstacle) {
  constexpr std::string_view kNames[] = {"none",     "route", "place",
                                         "attempts", "time",  "budget"};
  return kNames[static_cast<int>(obstacle)];
}

AttemptObstacle ObstacleToAttempt(const AttemptContext& context) {
  if (!context.idempotent) return AttemptObstacle::kRoute;
  if (context.answer_started && !context.resumable) {
    return AttemptObstacle::kPlace;
  }
  if (context.attempts >= context.max_attempts) {
    return AttemptObstacle::kAttempts;
  }
  if (context.time_left < kMinTimeForAttempt) return AttemptObstacle::kTime;
  return context.retry_allowed ? AttemptObstacle::kNone
                               : AttemptObstacle::kBudget;
}

AttemptObstacle ObstacleToQuestion(AttemptContext context) {
  const bool asks_earlier = context.may_ask_earlier && context.answer_started;
  if (asks_earlier) context.max_attempts = context.attempts + 1;
  return ObstacleToAttempt(context);
}

std::string_view NameOf(NextStep step) {
  constexpr std::string_view kNames[] = {"pass-answer", "retry-elsewhere",
                                         "resume-elsewhere", "fail"};
  return kNames[static_cast<int>(step)];
}

RequestOutcome OutcomeOf(const AttemptEnd& end) {
  if (!end.may_have_been_sent || end.declared_not_run) {
    return RequestOutcome::kNotRun;
  }
  return end.end == HttpCallEnd::kComplete ? RequestOutcome::kRan
                                           : RequestOutcome::kUnknown;
}

AttemptDecision DecideAttempt(const AttemptEnd& end,
                              const AttemptContext& context) {
  const auto attempt_outcome = OutcomeOf(end);
  // An error cannot follow the part of the answer that the caller has.
  const bool is_late_error = end.failed && context.answer_started;
  const bool is_complete = end.end == HttpCallEnd::kComplete &&
                           end.stream_complete && !end.declared_not_run &&
                           !end.overloaded && !is_late_error;
  const bool retry_failed_answer = end.failed && context.idempotent &&
                                   !context.answer_started && MayRetry(context);
  if (is_complete && retry_failed_answer) {
    return {NextStep::kRetryElsewhere, CodeForEnd(end), attempt_outcome};
  }
  if (is_complete) {
    const auto step = StepAfterEnd(end, context);
    if (step == EndStep::kPass) {
      return {NextStep::kPassAnswer, ResultCode::kOk, attempt_outcome};
    }
    if (step == EndStep::kFail) {
      return {NextStep::kFail, FailureCode(end, context), attempt_outcome};
    }
    return {context.answer_started ? NextStep::kResumeElsewhere
                                   : NextStep::kRetryElsewhere,
            CodeForEnd(end), attempt_outcome};
  }
  const auto outcome =
      context.earlier_unknown ? RequestOutcome::kUnknown : attempt_outcome;
  AttemptDecision decision{NextStep::kFail, FailureCode(end, context), outcome};
  if (!MayRetry(context)) return decision;
  const bool safe = context.idempotent || outcome == RequestOutcome::kNotRun;
  if (!safe) return decision;
  if (context.answer_started && !context.resumable) return decision;
  decision.step = context.answer_started ? NextStep::kResumeElsewhere
                                         : NextStep::kRetryElsewhere;
  FIRMOOR_INVARIANT(context.idempotent || outcome == RequestOutcome::kNotRun,
                    "a non-idempotent request is never sent again after it "
                    "may have been executed");
  return decision;
}

StopDecision DecideAtStop(const StopContext& context) {
  if (context.may_have_run) {
    return {ResultCode::kUpstreamOutcomeUnknown, RequestOutcome::kUnknown};
  }
  return {ResultCode::kDraining, context.key_unknown ? RequestOutcome::kUnknown
                                                     : RequestOutcome::kNotRun};
}

}  // namespace firmoor
