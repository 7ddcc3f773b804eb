// What the end of an attempt tells of its response and of its upstream.

#include "details/upstream_attempt.h"

namespace firmoor::details {

AttemptEnd UpstreamAttempt::DescribeEnd(HttpCallEnd end, bool answer_started,
                                        std::size_t forwarded_events,
                                        int earlier_closes) const {
  AttemptEnd described;
  described.end = is_mismatched_ ? HttpCallEnd::kMalformed : end;
  described.may_have_been_sent = MayHaveBeenSent();
  if (end == HttpCallEnd::kComplete && head_ && !is_mismatched_) {
    described.declared_not_run = head_->declared_not_run;
    // Only events may follow those that the caller has.
    described.failed =
        head_->IsFailure() || (answer_started && !is_event_stream_);
  }
  // An engine that crashes at its first token has sent a head only.
  const bool may_be_cut =
      forwarded_events == 0 && EndsWithConnection() && !HasNothingMore();
  described.stream_complete =
      !is_event_stream_ || !(relay_.HasPartialEvent() || may_be_cut);
  const bool seems_complete =
      end == HttpCallEnd::kComplete && described.stream_complete;
  if (seems_complete) described.credibility = JudgeEnd(earlier_closes);
  return described;
}

EndCredibility UpstreamAttempt::JudgeEnd(int earlier_closes) const {
  // A collected response is passed on as the platform's contract has it: its
  // request may have run, and nothing else tells what it returned.
  const bool needs_mark =
      is_event_stream_ && EndsWithConnection() && head_->IsSuccess();
  if (!needs_mark) return EndCredibility::kShown;
  const auto now = MonotonicNow();
  auto& streams = *context_->close_delimited_streams;
  if (!HasNothingMore()) {
    if (!RanAtEnd()) {
      // No process stands by the end: it may have exited amid the stream.
      return streams.JudgeUnattended(writer(), close_origin_, now);
    }
    const auto credibility = streams.Judge(writer(), plan_.upstream.id, now);
    const bool is_trusted = credibility == EndCredibility::kTrusted ||
                            credibility == EndCredibility::kDue;
    return is_trusted && IsLeaving() ? EndCredibility::kUnproven : credibility;
  }
  return streams.JudgeEmpty(writer(), earlier_closes, now);
}

CloseDelimitedStreams::Evidence UpstreamAttempt::EvidenceOfEnd() const {
  return context_->close_delimited_streams->EvidenceOf(writer(),
                                                       MonotonicNow());
}

EndDoubt UpstreamAttempt::DoubtOfEnd() const {
  if (!is_event_stream_ || !EndsWithConnection()) return EndDoubt::kNone;
  if (!RanAtEnd()) return EndDoubt::kNoProcess;
  const auto evidence = EvidenceOfEnd();
  const auto doubt = CloseDelimitedStreams::DoubtOf(evidence);
  if (HasNothingMore() && evidence.marks_ends) return EndDoubt::kEmpty;
  return doubt == EndDoubt::kNone && IsLeaving() ? EndDoubt::kLeaving : doubt;
}

UpstreamOutcome UpstreamAttempt::OutcomeFor(const AttemptEnd& end) const {
  const bool wrong = head_ && head_->wrong_upstream;
  if (wrong || send_cancelled_) return UpstreamOutcome::kNeutral;
  if (end.declared_not_run) return UpstreamOutcome::kRefused;
  switch (end.end) {
    case HttpCallEnd::kComplete:
      return end.failed ? UpstreamOutcome::kFailed : UpstreamOutcome::kSuccess;
    case HttpCallEnd::kNotConnected:
      return end.may_have_been_sent ? UpstreamOutcome::kNeutral
                                    : UpstreamOutcome::kUnreachable;
    case HttpCallEnd::kNoResponse:
    case HttpCallEnd::kTruncated:
    case HttpCallEnd::kMalformed:
    case HttpCallEnd::kTooLarge:
    case HttpCallEnd::kTimedOut:
      return UpstreamOutcome::kFailed;
    case HttpCallEnd::kCancelled:
      return UpstreamOutcome::kNeutral;
  }
  return UpstreamOutcome::kNeutral;
}

bool UpstreamAttempt::WasRejected(const AttemptEnd& end) const {
  return end.declared_not_run && !head_->wrong_upstream && !head_->leaving;
}

bool UpstreamAttempt::RecordEvidence(
    const AttemptEnd& end, const std::vector<Suspect>& suspects) const {
  const bool ran =
      end.may_have_been_sent && !end.declared_not_run && !is_mismatched_;
  if (!ran) return false;
  const bool is_complete = end.end == HttpCallEnd::kComplete;
  // One that runs after its close has not crashed.
  const bool may_be_cut =
      is_complete && call_->IsDelimitedByClose() && !RanAtEnd();
  if (is_complete && !may_be_cut) {
    context_->quarantine.OnResponse(plan_.upstream);
    const bool succeeded = head_->IsSuccess() && end.stream_complete;
    if (succeeded) context_->quarantine.OnCompleted(suspects);
    return false;
  }
  const bool is_broken =
      end.end == HttpCallEnd::kNoResponse || end.end == HttpCallEnd::kTruncated;
  if (!is_broken && !may_be_cut) return false;
  // Connections to upstreams that leave end without a crash.
  if (!Counts()) return false;
  context_->quarantine.OnBroken(
      plan_.upstream,
      {{plan_.upstream.id, plan_.upstream.born_ms},
       head_at_.value_or(sent_at_),
       suspects,
       may_be_cut && head_->IsSuccess() && end.stream_complete});
  return is_broken;
}

void UpstreamAttempt::RecordLinkEvidence(const AttemptEnd& end) const {
  if (send_cancelled_) return;
  switch (end.end) {
    case HttpCallEnd::kNotConnected:
      return context_->links.OnConnectFailure(plan_.upstream.id);
    case HttpCallEnd::kNoResponse:
    case HttpCallEnd::kTruncated:
    case HttpCallEnd::kTimedOut:
      return context_->links.OnBroken(plan_.upstream.id);
    case HttpCallEnd::kComplete:
    case HttpCallEnd::kMalformed:
    case HttpCallEnd::kTooLarge:
    case HttpCallEnd::kCancelled:
      return;
  }
}

}  // namespace firmoor::details
