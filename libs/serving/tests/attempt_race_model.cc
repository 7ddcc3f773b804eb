#include "attempt_race_model.h"

#include <algorithm>

namespace firmoor {
namespace {

using Phase = ModelAttempt::Phase;

constexpr Duration kTimeLeft{5'000};

/// What the caller gets if it gets the answer of this attempt.
RequestEnd AnswerOf(const AttemptEnd& end) {
  if (end.declared_not_run) return RequestEnd::kNotRun;
  return end.failed ? RequestEnd::kFailurePassed : RequestEnd::kAnswered;
}

int CountUnusedRetries(AttemptRace race) {
  constexpr int kMost = 9;
  int unused = 0;
  while (unused < kMost && race.TakeUnusedRetry()) ++unused;
  return unused;
}

}  // namespace

RaceModel::RaceModel(const RaceSetup& setup)
    : setup_(setup), race_(setup.earlier_attempts), budget_(setup.retries) {
  TryNext();
}

bool RaceModel::Receives(std::size_t attempt) const {
  return attempts_[attempt].phase == Phase::kReceived;
}

bool RaceModel::HasSentNothing(std::size_t attempt) const {
  return attempts_[attempt].next_event == attempts_[attempt].first_event;
}

std::size_t RaceModel::CountInFlight() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const auto& attempt) { return attempt.in_flight; }));
}

bool RaceModel::MayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const auto& attempt) {
                       return attempt.received && !attempt.declared_not_run;
                     });
}

bool RaceModel::MayStartAnother() const {
  const bool may_repeat =
      (setup_.form != RequestForm::kOnce && setup_.may_run_again) ||
      !MayHaveRun();
  const bool has_retry = arrivals_ == 0 || budget_ > 0 ||
                         taken_ - returned_ > std::max(0, arrivals_ - 1);
  return HasUpstream() && !next_pick_is_lost_ && may_repeat && has_retry &&
         arrivals_ + setup_.earlier_attempts < setup_.max_attempts;
}

bool RaceModel::Connect(std::size_t attempt) {
  auto& state = attempts_[attempt];
  if (state.phase != Phase::kConnecting || !state.in_flight) return false;
  state.phase = Phase::kReceived;
  state.received = true;
  ++arrivals_;
  if (arrivals_ - 1 > taken_ - returned_) {
    Violate("more repeats arrive than retries were taken");
  }
  return true;
}

bool RaceModel::FailToConnect(std::size_t attempt) {
  auto& state = attempts_[attempt];
  if (state.phase != Phase::kConnecting || !state.in_flight) return false;
  state.phase = Phase::kEnded;
  HandleEnd(attempt, {HttpCallEnd::kNotConnected});
  return true;
}

bool RaceModel::FallSilent(std::size_t attempt) {
  auto& state = attempts_[attempt];
  if (!state.in_flight || state.is_silent) return false;
  state.is_silent = true;
  race_.OnSilent(NumberOf(attempt));
  StartBeside();
  return true;
}

bool RaceModel::SendByte(std::size_t attempt) {
  if (!Receives(attempt) || !attempts_[attempt].is_silent) return false;
  DeliverByte(attempt);
  return true;
}

bool RaceModel::SendEvent(std::size_t attempt) {
  auto& state = attempts_[attempt];
  const bool sends =
      IsStream() && Receives(attempt) && state.next_event <= kEventsOfStream;
  if (!sends) return false;
  const int event = state.next_event++;
  DeliverByte(attempt);
  DeliverEvent(attempt, event);
  return true;
}

bool RaceModel::Complete(std::size_t attempt) {
  auto& state = attempts_[attempt];
  const bool has_sent_all = !IsStream() || state.next_event > kEventsOfStream;
  if (!Receives(attempt) || !has_sent_all) return false;
  state.phase = Phase::kEnded;
  HandleEnd(attempt, {HttpCallEnd::kComplete, true});
  return true;
}

bool RaceModel::AnswerWithError(std::size_t attempt) {
  if (!Receives(attempt) || !HasSentNothing(attempt)) return false;
  attempts_[attempt].phase = Phase::kEnded;
  AttemptEnd end{HttpCallEnd::kComplete, true};
  end.failed = true;
  HandleEnd(attempt, end);
  return true;
}

bool RaceModel::BreakOff(std::size_t attempt) {
  if (!Receives(attempt)) return false;
  attempts_[attempt].phase = Phase::kEnded;
  HandleEnd(attempt, {HttpCallEnd::kTruncated, true});
  return true;
}

bool RaceModel::Reject(std::size_t attempt) {
  if (!Receives(attempt) || !HasSentNothing(attempt)) return false;
  attempts_[attempt].phase = Phase::kEnded;
  attempts_[attempt].declared_not_run = true;
  AttemptEnd end{HttpCallEnd::kComplete, true, true};
  end.failed = true;
  HandleEnd(attempt, end);
  return true;
}

bool RaceModel::LeaveByCaller() {
  if (caller_left_ || end_ != RequestEnd::kNone) return false;
  caller_left_ = true;
  // A request that must not run twice is left to complete.
  const bool is_sent =
      std::any_of(attempts_.begin(), attempts_.end(), [](const auto& attempt) {
        return attempt.in_flight && attempt.phase == Phase::kReceived;
      });
  if (setup_.form == RequestForm::kOnce && is_sent) return true;
  Finish(RequestEnd::kCallerLeft);
  return true;
}

bool RaceModel::LosePick() {
  if (setup_.lost_picks == 0 || end_ != RequestEnd::kNone) return false;
  --setup_.lost_picks;
  next_pick_is_lost_ = true;
  return true;
}

AttemptRace::Conditions RaceModel::MakeConditions() const {
  AttemptRace::Conditions conditions;
  conditions.idempotent = setup_.form != RequestForm::kOnce;
  conditions.answer_started = answer_started_;
  conditions.resumable = IsStream();
  conditions.max_attempts = setup_.max_attempts;
  conditions.may_run_again = setup_.may_run_again;
  conditions.time_left = kTimeLeft;
  conditions.retry_available = budget_ > 0;
  return conditions;
}

bool RaceModel::HasUpstream() const {
  // One that was overtaken is tried again when no other is left.
  const int again = CountInFlight() == 0 ? overtaken_ : 0;
  return static_cast<int>(attempts_.size()) < setup_.upstreams + again;
}

void RaceModel::TryNext() {
  if (HasUpstream() && !std::exchange(next_pick_is_lost_, false)) {
    return Send();
  }
  if (race_.in_flight() > 0) return;
  Refuse(race_.may_have_run() ? RequestOutcome::kUnknown
                              : RequestOutcome::kNotRun);
}

void RaceModel::Send() {
  if (!setup_.may_run_again && MayHaveRun()) {
    Violate("a request that may crash upstreams runs again");
  }
  const int number = race_.Start(true);
  ModelAttempt attempt;
  attempt.first_event = events_ + 1;
  attempt.next_event = attempt.first_event;
  attempts_.push_back(attempt);
  if (number != NumberOf(attempts_.size() - 1)) Violate("attempts misnumbered");
}

bool RaceModel::TakeRetry() {
  if (!race_.NeedsRetry()) return true;
  if (budget_ == 0) return false;
  --budget_;
  ++taken_;
  race_.AddRetry();
  return true;
}

void RaceModel::StartBeside() {
  if (end_ != RequestEnd::kNone || caller_left_ || race_.in_flight() == 0) {
    return;
  }
  const bool may_start =
      race_.MayStartBeside(MakeConditions()) && HasUpstream();
  if (!may_start) return;
  const bool all_silent =
      std::all_of(attempts_.begin(), attempts_.end(), [](const auto& attempt) {
        return !attempt.in_flight || attempt.is_silent;
      });
  if (!all_silent) Violate("an attempt starts beside one that is not silent");
  if (TakeRetry()) TryNext();
}

void RaceModel::DeliverByte(std::size_t attempt) {
  auto& state = attempts_[attempt];
  state.is_silent = false;
  if (state.in_flight) race_.OnByte(NumberOf(attempt));
}

void RaceModel::DeliverEvent(std::size_t attempt, int event) {
  if (!attempts_[attempt].in_flight) return;
  if (end_ != RequestEnd::kNone) return;
  CancelOvertaken(attempt, race_.OnNextPart(NumberOf(attempt)));
  if (event != events_ + 1) Violate("an event is repeated or left out");
  events_ = event;
  answer_started_ = true;
}

void RaceModel::CancelOvertaken(std::size_t winner,
                                const std::vector<int>& overtaken) {
  const bool has_brought_next =
      winner < attempts_.size() && (attempts_[winner].phase == Phase::kEnded ||
                                    attempts_[winner].next_event > events_ + 1);
  for (const int number : overtaken) {
    const auto attempt = static_cast<std::size_t>(number) - 1;
    auto& state = attempts_[attempt];
    if (attempt == winner || !state.in_flight || !has_brought_next) {
      Violate("an attempt is cancelled that was not overtaken");
    }
    state.in_flight = false;
    ++overtaken_;
    race_.OnCancelled(number, state.received, true);
  }
}

void RaceModel::HandleEnd(std::size_t attempt, const AttemptEnd& end) {
  auto& state = attempts_[attempt];
  if (!state.in_flight || end_ != RequestEnd::kNone) return;
  state.in_flight = false;
  const auto decision =
      race_.OnEnd(NumberOf(attempt), end, true, MakeConditions());
  if (caller_left_) return Finish(RequestEnd::kCallerLeft);
  if (end.failed && !end.declared_not_run && !answer_started_) {
    failed_answer_ = AnswerOf(end);
  }
  switch (decision.step) {
    case RaceStep::kPassAnswer:
      CancelOvertaken(attempt, decision.overtaken);
      if (IsStream() && !end.failed && events_ != kEventsOfStream) {
        Violate("a stream ends without all its events");
      }
      return Finish(AnswerOf(end));
    case RaceStep::kGoOn:
      return StartBeside();
    case RaceStep::kTryNext:
      if (!TakeRetry()) Violate("the next attempt has no retry");
      return TryNext();
    case RaceStep::kFail:
      return FailRequest(decision.attempt);
  }
}

void RaceModel::FailRequest(const AttemptDecision& decision) {
  if (MayStartAnother()) Violate("the request fails while another may start");
  Refuse(decision.outcome);
}

void RaceModel::Refuse(RequestOutcome outcome) {
  if (answer_started_) return Finish(RequestEnd::kCut);
  if (failed_answer_ != RequestEnd::kNone) return Finish(failed_answer_);
  Finish(outcome == RequestOutcome::kNotRun ? RequestEnd::kNotRun
                                            : RequestEnd::kUnknown);
}

void RaceModel::Finish(RequestEnd end) {
  if (end != RequestEnd::kCallerLeft && CountInFlight() > 0) {
    Violate("the request ends while an attempt is in flight");
  }
  const bool is_lost =
      end != RequestEnd::kCallerLeft && end != RequestEnd::kAnswered;
  const bool was_given_up =
      std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& attempt) {
        return !attempt.in_flight && attempt.phase != Phase::kEnded &&
               attempt.first_event == events_ + 1;
      });
  if (is_lost && was_given_up) {
    Violate("an upstream that may go on was given up for one that did not");
  }
  if (end == RequestEnd::kNotRun && MayHaveRun()) {
    Violate("a request that may have run is reported as not run");
  }
  end_ = end;
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    if (!std::exchange(attempts_[i].in_flight, false)) continue;
    race_.OnCancelled(NumberOf(i), attempts_[i].received, true);
  }
  while (race_.TakeUnusedRetry()) {
    ++returned_;
    ++budget_;
  }
}

std::string RaceModel::DescribeRace(std::size_t attempt) const {
  auto alone = race_;
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    if (i != attempt) alone.OnCancelled(NumberOf(i), true, true);
  }
  while (CountUnusedRetries(alone) > 0) alone.TakeUnusedRetry();
  auto generous = MakeConditions();
  generous.idempotent = true;
  generous.resumable = true;
  generous.retry_available = true;
  generous.max_attempts = setup_.upstreams + setup_.earlier_attempts + 1;
  const bool is_silent = alone.MayStartBeside(generous);
  // After a send, an attempt that was not sent leaves its own retry only.
  alone.OnCancelled(alone.Start(true), true, true);
  alone.OnCancelled(NumberOf(attempt), false, true);
  return {is_silent ? 's' : '-', CountUnusedRetries(alone) > 0 ? 'r' : '-'};
}

std::string RaceModel::Key() const {
  std::string key;
  const auto add = [&](auto value) {
    key += static_cast<char>('0' + static_cast<int>(value));
  };
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    const auto& attempt = attempts_[i];
    add(attempt.phase);
    add(attempt.in_flight);
    add(attempt.is_silent);
    add(attempt.declared_not_run);
    add(attempt.received);
    add(attempt.first_event);
    add(attempt.next_event);
    if (attempt.in_flight) key += DescribeRace(i);
  }
  key += '|';
  for (const int value :
       {overtaken_, budget_, taken_, returned_, arrivals_, events_,
        setup_.lost_picks, race_.sends(), race_.attempts(),
        CountUnusedRetries(race_), static_cast<int>(race_.in_flight()),
        static_cast<int>(end_), static_cast<int>(failed_answer_)}) {
    add(value);
  }
  for (const bool value : {setup_.may_run_again, answer_started_, caller_left_,
                           next_pick_is_lost_, race_.may_have_run()}) {
    add(value);
  }
  return key;
}

std::string RaceModel::Check() const {
  if (!violation_.empty()) return violation_;
  const auto in_flight = CountInFlight();
  if (in_flight != race_.in_flight()) return "an attempt is lost";
  if (in_flight > AttemptRace::kMaxInFlight) return "too many in flight";
  if (setup_.form == RequestForm::kOnce) {
    const auto runs = std::count_if(
        attempts_.begin(), attempts_.end(), [](const auto& attempt) {
          return attempt.received && !attempt.declared_not_run;
        });
    if (in_flight > 1 || runs > 1) return "a request may run twice";
  }
  const int allowed =
      std::max(1, setup_.max_attempts - setup_.earlier_attempts);
  if (arrivals_ > allowed) return "too many attempts";
  if (end_ == RequestEnd::kNone) {
    return in_flight == 0 ? "a request waits for nothing" : "";
  }
  return CheckBudget();
}

std::string RaceModel::CheckBudget() const {
  if (CountUnusedRetries(race_) > 0) return "an unused retry is kept";
  return taken_ == std::max(0, arrivals_ - 1) + returned_
             ? ""
             : "not as many retries taken as repeats arrived";
}

}  // namespace firmoor
