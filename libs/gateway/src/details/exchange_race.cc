#include <algorithm>

#include "details/exchange.h"

namespace firmoor::details {

AttemptRace::Conditions Exchange::MakeConditions() const {
  AttemptRace::Conditions conditions;
  conditions.idempotent = admission_.route->MayRepeat();
  conditions.answer_started = answer_started_;
  conditions.resumable = admission_.route->is_resumable && HasPlace();
  conditions.max_attempts = std::max(1, admission_.route->max_upstreams);
  conditions.may_run_again = MayRunAgain();
  conditions.time_left = ends_at_ - MonotonicNow();
  conditions.retry_available = context_->BudgetOf(service_).available() >= 1.0;
  return conditions;
}

bool Exchange::HasFurtherUpstream(
    const AttemptRace::Conditions& conditions) const {
  return race_.attempts() < conditions.max_attempts &&
         context_->picker.HasUpstreamFor(MakePickRequest(), MonotonicNow());
}

std::optional<UpstreamEntry> Exchange::FindEarlierUpstream(
    const UpstreamAttempt& attempt) const {
  if (asked_earlier_ || !answer_started_ || IsVersionDoubtful()) {
    return std::nullopt;
  }
  for (const auto& id : tried_.RanBefore(attempt.upstream().id)) {
    const auto* entry = context_->catalog.Find(id);
    const bool is_usable = entry != nullptr && !entry->leaving &&
                           (!version_ || entry->software_version == *version_);
    if (is_usable) return *entry;
  }
  return std::nullopt;
}

bool Exchange::MayStartBeside() const {
  const bool is_busy = finished_ || caller_disconnected_ ||
                       probes_pending_ > 0 ||
                       (move_ && !move_->end && !move_->is_silent);
  if (is_busy || race_.in_flight() == 0) return false;
  if (!race_.MayStartBeside(MakeConditions())) return false;
  const bool is_held = !CanVerifyKey() || IsVersionDoubtful() ||
                       context_->quarantine.HasVerdict(suspects_);
  if (is_held) return false;
  const auto now = MonotonicNow();
  return IsLinkUsable(now)
             ? context_->picker.HasUpstreamFor(MakePickRequest(), now)
             : HasPeer(now);
}

void Exchange::OnSilent(const UpstreamAttempt& attempt) {
  if (finished_) return;
  const auto self = shared_from_this();
  race_.OnSilent(attempt.number());
  tried_.ReadmitUnreached();
  StartBeside();
}

void Exchange::StartBeside() {
  if (MayStartBeside() && TakeRetry()) {
    TryNextUpstream();
  }
  if (race_.in_flight() > 0) ReturnUnusedRetries();
}

void Exchange::GoOn() {
  if (race_.in_flight() == 0) return TryNextUpstream();
  StartBeside();
}

bool Exchange::TakeRetry() {
  if (!race_.NeedsRetry()) return true;
  if (!context_->BudgetOf(service_).TryTake()) return false;
  race_.AddRetry();
  return true;
}

void Exchange::CancelOvertaken(int winner, const std::string& by,
                               const std::vector<int>& overtaken) {
  const auto now = MonotonicNow();
  auto& counters = context_->beside_counters;
  for (const int number : overtaken) {
    ++(winner > number ? counters.took_over : counters.overtaken);
    if (const auto* delegated = attempts_.FindDelegated(number)) {
      RecordOvertaken(by, delegated->peer.daemon,
                      delegated->stream->MayHaveBeenSent(),
                      now - delegated->last_message_at);
      EndDelegation(number);
    } else if (const auto attempt = attempts_.Remove(number)) {
      if (move_ && move_->attempt == number) move_.reset();
      const bool sent = attempt->MayHaveBeenSent();
      RecordOvertaken(by, attempt->upstream().id, sent,
                      now - attempt->last_byte_at());
      race_.OnCancelled(number, sent, attempt->Counts());
      tried_.OnOvertaken(attempt->upstream().id, attempt->is_silent());
      attempt->Release(attempt->is_silent() ? UpstreamOutcome::kFailed
                                            : UpstreamOutcome::kNeutral,
                       false, now);
    }
  }
  if (race_.in_flight() > 0) ReturnUnusedRetries();
}

RequestOutcome Exchange::OutcomeSoFar() const {
  return race_.may_have_run() || attempts_.IsSent() ? RequestOutcome::kUnknown
                                                    : RequestOutcome::kNotRun;
}

void Exchange::ReleaseAttempts() {
  EndDelegations();
  const auto now = MonotonicNow();
  // They are deleted with this object, since a call of theirs may be on the
  // stack.
  for (const auto& attempt : attempts_.all()) {
    race_.OnCancelled(attempt->number(), attempt->MayHaveBeenSent(),
                      attempt->Counts());
    attempt->Release(UpstreamOutcome::kNeutral, false, now);
  }
  ReturnUnusedRetries();
}

void Exchange::ReturnUnusedRetries() {
  while (race_.TakeUnusedRetry()) context_->BudgetOf(service_).Return();
}

}  // namespace firmoor::details
