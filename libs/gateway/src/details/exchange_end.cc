// How streams end, and what their ends tell of those before them.

#include <utility>

#include "details/exchange.h"

namespace firmoor::details {
namespace {

// Within a period of reports this daemon hears what all others know. Callers
// wait for two seconds at least.
constexpr Duration kLongestEndWait{1'000};

}  // namespace

void Exchange::RecordCompletion(const UpstreamAttempt& attempt,
                                const AttemptEnd& end, TimePoint now) {
  const bool is_complete = end.end == HttpCallEnd::kComplete &&
                           end.stream_complete && !end.failed &&
                           attempt.is_event_stream();
  if (attempt.HasPartialEvent()) OnMoreFollows(attempt.upstream().id, now);
  // Its events could not be placed, so nothing is known of what follows.
  const bool is_misplaced = end.end == HttpCallEnd::kMalformed;
  if (is_misplaced && unverified_end_) unverified_end_->is_trusted = false;
  if (!is_complete) return;
  if (end.credibility != EndCredibility::kShown) {
    const bool is_trusted = end.credibility == EndCredibility::kTrusted ||
                            end.credibility == EndCredibility::kDue;
    const auto earlier_closes = attempt.HasNothingMore() ? EarlierCloses() : 0;
    unverified_end_ =
        UnverifiedEnd{attempt.writer(), attempt.upstream().id, is_trusted,
                      attempt.IsEndCredible(), earlier_closes + 1};
  } else if (attempt.HasNothingMore()) {
    // A caller that resumes a stream at its end verifies it as well.
    if (!unverified_end_) {
      unverified_end_ = UnverifiedEnd{attempt.writer(), "", false, true, 0};
    }
    VerifyEnd(StreamEndSign::kNothingFollowed, attempt.upstream().id, now);
  }
}

int Exchange::EarlierCloses() const {
  return unverified_end_ && unverified_end_->is_alive ? unverified_end_->closes
                                                      : 0;
}

void Exchange::VerifyEnd(StreamEndSign sign, const std::string& shown_by,
                         TimePoint now) {
  if (!unverified_end_) return;
  // Nothing is learned of a close that no process stood by.
  if (unverified_end_->is_alive) {
    context_->ObserveStreamEnd(
        {sign, unverified_end_->writer, unverified_end_->upstream, request_.id,
         shown_by},
        now);
  }
  unverified_end_.reset();
}

void Exchange::OnMoreFollows(const std::string& shown_by, TimePoint now) {
  VerifyEnd(StreamEndSign::kMoreFollowed, shown_by, now);
}

void Exchange::RecordStreamEnd(StreamEndForm form, StreamEndBasis basis) {
  stream_end_ = StreamEnd{form, basis};
  context_->stream_ends.Count(form, basis);
}

void Exchange::FinishStream(StreamEndBasis basis) {
  RecordStreamEnd(StreamEndForm::kMarked, basis);
  responder_->FinishStream();
  Finish(ResultCode::kOk, "answered");
}

void Exchange::AbortStream(ResultCode code) {
  const bool is_trusted = unverified_end_ && unverified_end_->is_trusted &&
                          !attempts_.HasBegunEvent();
  if (is_trusted) return FinishStream(StreamEndBasis::kEarlierStreams);
  if (MayAwaitEnd()) return AwaitEnd(code);
  LogCut("daemon", InfoOf(code).name);
  RecordStreamEnd(StreamEndForm::kReset, StreamEndBasis::kNothing);
  context_->stream_ends.CountDoubt(doubt_);
  // Finish first: the closed connection is otherwise taken for a caller that
  // disconnected.
  Finish(code, "broken-off");
  responder_->Abort();
}

EndDoubt Exchange::DoubtOfWriter() const {
  return CloseDelimitedStreams::DoubtOf(
      context_->close_delimited_streams->EvidenceOf(unverified_end_->writer,
                                                    MonotonicNow()));
}

bool Exchange::MayAwaitEnd() {
  const bool is_idle = race_.in_flight() == 0 && !attempts_.AnyDelegated();
  return may_await_end_ && is_idle && unverified_end_ &&
         unverified_end_->is_alive &&
         DoubtOfWriter() == EndDoubt::kFewVerified &&
         !context_->close_delimited_streams->TakeReturn(unverified_end_->writer,
                                                        MonotonicNow());
}

void Exchange::AwaitEnd(ResultCode code) {
  may_await_end_ = false;
  awaited_end_ = code;
  context_->stream_ends.CountAwaited();
  context_->end_waiters[this] = weak_from_this();
  if (context_->on_grant_needed) context_->on_grant_needed();
  QTimer::singleShot(kLongestEndWait, &timer_, [this] {
    const auto self = shared_from_this();
    EndWait();
  });
}

void Exchange::OnEndEvidence() {
  const auto self = shared_from_this();
  const bool is_awaited = awaited_end_ && unverified_end_;
  if (is_awaited && DoubtOfWriter() != EndDoubt::kFewVerified) EndWait();
}

void Exchange::EndWait() {
  context_->end_waiters.erase(this);
  if (finished_ || !awaited_end_ || !unverified_end_) return;
  const auto code = *std::exchange(awaited_end_, std::nullopt);
  if (DoubtOfWriter() != EndDoubt::kNone) {
    context_->close_delimited_streams->ForgetReturns(unverified_end_->writer);
    return AbortStream(code);
  }
  FinishStream(StreamEndBasis::kEarlierStreams);
}

}  // namespace firmoor::details
