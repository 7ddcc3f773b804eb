#include "serving/attempt_race.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {

std::string_view AttemptRace::NameOfNext(const Decision& decision) {
  return decision.step == RaceStep::kGoOn ? "go-on"
                                          : NameOf(decision.attempt.step);
}

bool AttemptRace::NeedsRetry() const { return retries_ < PossibleSends(); }

bool AttemptRace::TakeUnusedRetry() {
  if (retries_ < std::max(1, PossibleSends())) return false;
  --retries_;
  return true;
}

int AttemptRace::PossibleSends() const {
  return sends_ + static_cast<int>(in_flight_.size());
}

int AttemptRace::Start(bool counts) {
  FIRMOOR_INVARIANT(in_flight_.size() < kMaxInFlight,
                    "a request has two attempts in flight at most");
  in_flight_[++last_number_] = {counts, false};
  return last_number_;
}

void AttemptRace::OnSilent(int attempt) {
  const auto found = in_flight_.find(attempt);
  if (found != in_flight_.end()) found->second.is_silent = true;
}

void AttemptRace::OnByte(int attempt) {
  const auto found = in_flight_.find(attempt);
  if (found != in_flight_.end()) found->second.is_silent = false;
}

std::vector<int> AttemptRace::Others(int attempt) const {
  std::vector<int> others;
  for (const auto& [number, state] : in_flight_) {
    if (number != attempt) others.push_back(number);
  }
  return others;
}

std::vector<int> AttemptRace::OnNextPart(int attempt) const {
  return Others(attempt);
}

bool AttemptRace::Remove(int attempt, bool may_have_been_sent, bool counts) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end()) return false;
  if (may_have_been_sent) {
    ++sends_;
    if (counts) ++counted_;
  }
  in_flight_.erase(found);
  return true;
}

AttemptRace::Decision AttemptRace::OnEnd(int attempt, const AttemptEnd& end,
                                         bool counts,
                                         const Conditions& conditions) {
  Remove(attempt, end.may_have_been_sent, counts);
  const bool ran = OutcomeOf(end) != RequestOutcome::kNotRun;
  Decision decision;
  decision.attempt =
      DecideAttempt(end, ContextOf(conditions, may_have_run_ || ran));
  may_have_run_ = may_have_run_ || ran;
  const bool is_passed_on =
      decision.attempt.step == NextStep::kPassAnswer &&
      (!end.failed || in_flight_.empty() || !conditions.idempotent);
  if (is_passed_on) {
    decision.step = RaceStep::kPassAnswer;
    decision.overtaken = Others(attempt);
  } else if (!in_flight_.empty()) {
    decision.step = RaceStep::kGoOn;
  } else {
    decision.step = decision.attempt.step == NextStep::kFail
                        ? RaceStep::kFail
                        : RaceStep::kTryNext;
  }
  return decision;
}

void AttemptRace::OnCancelled(int attempt, bool may_have_been_sent,
                              bool counts) {
  if (!Remove(attempt, may_have_been_sent, counts)) return;
  may_have_run_ = may_have_run_ || may_have_been_sent;
}

int AttemptRace::attempts() const {
  return counted_ + static_cast<int>(std::count_if(
                        in_flight_.begin(), in_flight_.end(),
                        [](const auto& item) { return item.second.counts; }));
}

AttemptContext AttemptRace::ContextOf(const Conditions& conditions,
                                      bool ran) const {
  AttemptContext context;
  context.idempotent = conditions.idempotent;
  context.answer_started = conditions.answer_started;
  context.resumable = conditions.resumable;
  context.attempts = attempts();
  context.max_attempts = ran && !conditions.may_run_again
                             ? context.attempts
                             : conditions.max_attempts;
  context.may_ask_earlier =
      conditions.may_ask_earlier && conditions.may_run_again;
  context.time_left = conditions.time_left;
  context.retry_allowed = !NeedsRetry() || conditions.retry_available;
  context.earlier_unknown = may_have_run_;
  return context;
}

bool AttemptRace::MayStartBeside(const Conditions& conditions) const {
  const bool all_silent =
      std::all_of(in_flight_.begin(), in_flight_.end(),
                  [](const auto& item) { return item.second.is_silent; });
  if (!all_silent || in_flight_.size() >= kMaxInFlight) return false;
  AttemptEnd end;
  end.end = HttpCallEnd::kTimedOut;
  end.may_have_been_sent = true;
  return DecideAttempt(end, ContextOf(conditions, true)).step !=
         NextStep::kFail;
}

}  // namespace firmoor
