#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {

void Exchange::LogAttempt(const AttemptEnd& end,
                          const AttemptDecision& decision) const {
  context_->environment.log->Write(
      "attempt-failed",
      {{"request", Text(request_.id)},
       {"upstream", Text(attempt_.upstream.id)},
       {"end", Text(NameOf(end.end))},
       {"status", attempt_.head ? attempt_.head->status : 0},
       {"may_have_left", end.may_have_been_sent},
       {"declared_not_run", end.declared_not_run},
       {"attempt_ms",
        static_cast<qint64>((MonotonicNow() - attempt_.sent_at).count())},
       {"budget", context_->BudgetOf(service_).available()},
       {"born_ms", static_cast<qint64>(attempt_.upstream.born_ms)},
       {"suspects", Text(HashList(suspects_))},
       {"next", Text(NameOf(decision.step))},
       {"outcome", Text(NameOf(decision.outcome))}});
}

void Exchange::LogRequest(ResultCode code, std::string_view outcome,
                          TimePoint now) const {
  const auto age = context_->freshness.Age(now);
  context_->environment.log->Write(
      "request",
      {{"request", Text(request_.id)},
       {"route", Text(admission_.route->name)},
       {"workspace",
        Text(admission_.workspace == nullptr ? ""
                                             : admission_.workspace->name)},
       {"service", Text(service_)},
       {"upstream", Text(attempt_.upstream.id)},
       {"sends", sends_},
       {"in_flight", static_cast<qint64>(attempt_.in_flight)},
       {"asked", static_cast<qint64>(probes_sent_)},
       {"wait_ms", static_cast<qint64>(expected_wait_.count())},
       {"prefill_tokens", attempt_.prefill_tokens},
       {"upstream_limit", attempt_.rate_limit},
       {"without_permit", static_cast<qint64>(without_permit_.size())},
       {"preferred",
        Text(without_permit_.empty() ? "" : without_permit_.front().id)},
       {"quota_tokens", quota_tokens_},
       {"status", attempt_.head ? attempt_.head->status : 0},
       {"code", Text(InfoOf(code).name)},
       {"outcome", Text(outcome)},
       {"version", Text(version_.value_or(""))},
       {"delegated_to", Text(last_peer_)},
       {"delegated_by", Text(origin_ ? origin_->request.sender : "")},
       {"resumes", Text(request_.IsResumed() ? request_.resumed_id : "")},
       {"first_ms", first_event_ ? static_cast<qint64>(
                                       (*first_event_ - started_at_).count())
                                 : -1},
       {"longest_pause_ms", static_cast<qint64>(longest_pause_.count())},
       {"total_ms", static_cast<qint64>((now - started_at_).count())},
       {"events", static_cast<qint64>(relay_.events())},
       {"config", static_cast<qint64>(table_->version())},
       {"config_age_ms", age ? static_cast<qint64>(age->count()) : -1}});
}

void Exchange::LogCut(std::string_view by, std::string_view reason) const {
  const auto now = MonotonicNow();
  const auto ms = [](Duration time) {
    return static_cast<qint64>(time.count());
  };
  const bool is_passed_on =
      sends_ > 0 || (delegation_ && delegation_->stream->MayHaveBeenSent()) ||
      (attempt_.call && attempt_.call->MayHaveBeenSent());
  const auto silent_since = answer_started_ ? last_event_ : started_at_;
  context_->environment.log->Write(
      "answer-cut",
      {{"request", Text(request_.id)},
       {"by", Text(by)},
       {"reason", Text(reason)},
       {"upstream", Text(attempt_.upstream.id)},
       {"end", Text(attempt_.end ? NameOf(*attempt_.end) : "")},
       {"passed_on", is_passed_on},
       {"started", answer_started_},
       {"left_silent", Text(left_silent_)},
       {"moving", move_call_ != nullptr},
       {"events", static_cast<qint64>(relay_.events())},
       {"silent_ms", ms(now - silent_since)},
       {"total_ms", ms(now - started_at_)},
       {"caller_time_ms", ms(ends_at_ - started_at_)},
       {"route_time_ms", ms(admission_.route->timeout)},
       {"config", static_cast<qint64>(table_->version())},
       {"newest_config", static_cast<qint64>(context_->table->version())}});
}

}  // namespace firmoor::details
