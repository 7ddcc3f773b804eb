#include <fmt/format.h>

#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {
namespace {

qint64 Milliseconds(Duration time) { return time.count(); }

/// From the choice of the upstream to the first byte; -1: none was written.
qint64 WriteMilliseconds(const UpstreamAttempt* attempt) {
  const auto time = attempt == nullptr ? std::nullopt : attempt->TimeToWrite();
  return time ? Milliseconds(*time) : -1;
}

}  // namespace

void Exchange::LogAttempt(const UpstreamAttempt& attempt, const AttemptEnd& end,
                          const AttemptRace::Decision& decision,
                          const AttemptRace::Conditions& conditions) const {
  const auto now = MonotonicNow();
  const auto evidence = attempt.EvidenceOfEnd();
  context_->environment.log->Write(
      "attempt-failed",
      {{"request", Text(request_.id)},
       {"upstream", Text(attempt.upstream().id)},
       {"end", Text(NameOf(end.end))},
       {"status", attempt.head() ? attempt.head()->status : 0},
       {"may_have_left", end.may_have_been_sent},
       {"declared_not_run", end.declared_not_run},
       {"attempt_ms", Milliseconds(now - attempt.sent_at())},
       {"write_ms", WriteMilliseconds(&attempt)},
       {"silent_ms", Milliseconds(now - attempt.last_byte_at())},
       {"budget", context_->BudgetOf(service_).available()},
       {"born_ms", static_cast<qint64>(attempt.upstream().born_ms)},
       {"suspects", Text(HashList(suspects_))},
       {"credibility", Text(NameOf(end.credibility))},
       {"doubt", Text(NameOf(attempt.DoubtOfEnd()))},
       {"ends_whole", static_cast<qint64>(evidence.whole)},
       {"ends_required", static_cast<qint64>(evidence.required)},
       {"ends_cut", static_cast<qint64>(evidence.cuts)},
       {"marks_ends", evidence.marks_ends},
       {"was_reset", evidence.was_reset},
       {"evidence_age_ms", Milliseconds(evidence.age)},
       {"in_flight", Text(attempts_.Describe(now))},
       {"attempts", race_.attempts()},
       {"attempts_allowed", conditions.max_attempts},
       {"time_left_ms", Milliseconds(conditions.time_left)},
       {"resumable", conditions.resumable},
       {"obstacle", Text(NameOf(race_.Obstacle(conditions)))},
       {"next", Text(AttemptRace::NameOfNext(decision))},
       {"outcome", Text(NameOf(decision.attempt.outcome))}});
}

void Exchange::RecordStart() {
  if (race_.in_flight() == 0) return;
  ++started_beside_;
  ++context_->beside_counters.started;
  context_->environment.log->Write(
      "attempt-beside",
      {{"request", Text(request_.id)},
       {"service", Text(service_)},
       {"in_flight", Text(attempts_.Describe(MonotonicNow()))},
       {"attempts", race_.attempts()},
       {"events", static_cast<qint64>(events_)},
       {"budget", context_->BudgetOf(service_).available()}});
}

void Exchange::RecordOvertaken(const std::string& by,
                               const std::string& overtaken, bool sent,
                               Duration silent) {
  left_silent_ += fmt::format("{}{}:{}", left_silent_.empty() ? "" : " ",
                              overtaken, silent.count());
  context_->environment.log->Write("attempt-overtaken",
                                   {{"request", Text(request_.id)},
                                    {"upstream", Text(overtaken)},
                                    {"by", Text(by)},
                                    {"may_have_left", sent},
                                    {"silent_ms", Milliseconds(silent)}});
}

void Exchange::LogRequest(ResultCode code, std::string_view outcome,
                          TimePoint now) const {
  const auto age = context_->freshness.Age(now);
  const auto* attempt = attempts_.Shown();
  context_->environment.log->Write(
      "request",
      {{"request", Text(request_.id)},
       {"route", Text(admission_.route->name)},
       {"workspace",
        Text(admission_.workspace == nullptr ? ""
                                             : admission_.workspace->name)},
       {"service", Text(service_)},
       {"upstream", Text(attempt == nullptr ? "" : attempt->upstream().id)},
       {"sends", race_.sends() + attempts_.SentToUpstreams()},
       {"beside", started_beside_},
       {"running", Text(attempts_.Describe(now))},
       {"in_flight", static_cast<qint64>(
                         attempt == nullptr ? 0 : attempt->requests_before())},
       {"asked", static_cast<qint64>(probes_sent_)},
       {"wait_ms", static_cast<qint64>(expected_wait_.count())},
       {"write_ms", WriteMilliseconds(attempt)},
       {"prefill_tokens", attempt == nullptr ? 0 : attempt->prefill_tokens()},
       {"upstream_limit", attempt == nullptr ? 0 : attempt->rate_limit()},
       {"without_permit", static_cast<qint64>(without_permit_.size())},
       {"preferred",
        Text(without_permit_.empty() ? "" : without_permit_.front().id)},
       {"quota_tokens", quota_tokens_},
       {"status",
        attempt != nullptr && attempt->head() ? attempt->head()->status : 0},
       {"code", Text(InfoOf(code).name)},
       {"outcome", Text(outcome)},
       {"version", Text(version_.value_or(""))},
       {"writer", Text(writer_ ? writer_->upstream.id : "")},
       {"writer_version",
        Text(writer_ ? writer_->upstream.software_version : "")},
       {"writer_born_ms",
        static_cast<qint64>(writer_ ? writer_->upstream.born_ms : 0)},
       {"record_holders", Text(record_holders_)},
       {"stated_ms",
        static_cast<qint64>(
            request_.caller_timeout.value_or(Duration(0)).count())},
       {"delegated_to", Text(last_peer_)},
       {"delegated_by", Text(origin_ ? origin_->request.sender : "")},
       {"resumes", Text(request_.IsResumed() ? request_.resumed_id : "")},
       {"first_ms", first_event_ ? static_cast<qint64>(
                                       (*first_event_ - started_at_).count())
                                 : -1},
       {"longest_pause_ms", static_cast<qint64>(longest_pause_.count())},
       {"total_ms", static_cast<qint64>((now - started_at_).count())},
       {"events", static_cast<qint64>(events_)},
       {"last_event", Text(last_event_id_)},
       {"stream_end", Text(stream_end_ ? NameOf(stream_end_->form) : "")},
       {"end_known_by", Text(stream_end_ ? NameOf(stream_end_->basis) : "")},
       {"config", static_cast<qint64>(table_->version())},
       {"config_age_ms", age ? static_cast<qint64>(age->count()) : -1}});
}

void Exchange::LogCut(std::string_view by, std::string_view reason) const {
  const auto now = MonotonicNow();
  const auto* attempt = attempts_.Shown();
  const bool has_ended = attempt != nullptr && attempt->end();
  const auto silent_since = answer_started_ ? last_event_ : started_at_;
  context_->environment.log->Write(
      "answer-cut",
      {{"request", Text(request_.id)},
       {"by", Text(by)},
       {"reason", Text(reason)},
       {"upstream", Text(attempt == nullptr ? "" : attempt->upstream().id)},
       {"end", Text(has_ended ? NameOf(*attempt->end()) : "")},
       {"passed_on", race_.sends() > 0 || attempts_.IsSent()},
       {"running", Text(attempts_.Describe(now))},
       {"beside", started_beside_},
       {"started", answer_started_},
       {"left_silent", Text(left_silent_)},
       {"moving", move_.has_value()},
       {"draining", context_->drain.has_value()},
       {"doubt", Text(NameOf(doubt_))},
       {"obstacle", Text(NameOf(race_.Obstacle(MakeConditions())))},
       {"events", static_cast<qint64>(events_)},
       {"last_event", Text(last_event_id_)},
       {"silent_ms", Milliseconds(now - silent_since)},
       {"total_ms", Milliseconds(now - started_at_)},
       {"caller_time_ms", Milliseconds(ends_at_ - started_at_)},
       {"route_time_ms", Milliseconds(admission_.route->timeout)},
       {"config", static_cast<qint64>(table_->version())},
       {"newest_config", static_cast<qint64>(context_->table->version())}});
}

}  // namespace firmoor::details
