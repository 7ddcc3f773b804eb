#include "details/exchange.h"

namespace firmoor::details {
namespace {

// A request under which so many connections broke is not sent to a third
// upstream, whether or not anyone else suspects it.
constexpr int kMaxCrashedAttempts = 2;

}  // namespace

bool Exchange::RejectQuarantined() {
  if (context_->quarantine.Reject(request_.id, suspects_) == nullptr) {
    return false;
  }
  // Without a time to come back: the request would only be rejected again.
  Refuse(ResultCode::kQuarantined, "", OutcomeSoFar(), std::nullopt);
  return true;
}

void Exchange::RecordEvidence(const AttemptEnd& end) {
  const bool ran = end.may_have_been_sent && !end.declared_not_run &&
                   !attempt_.is_mismatched;
  if (!ran) return;
  const bool is_complete = end.end == HttpCallEnd::kComplete;
  const bool may_be_cut = is_complete && attempt_.call->IsDelimitedByClose();
  if (is_complete && !may_be_cut) {
    context_->quarantine.OnResponse(attempt_.upstream);
    const bool succeeded = attempt_.head->IsSuccess() && end.stream_complete;
    if (succeeded) context_->quarantine.OnCompleted(suspects_);
    return;
  }
  const bool is_broken =
      end.end == HttpCallEnd::kNoResponse || end.end == HttpCallEnd::kTruncated;
  if (!is_broken && !may_be_cut) return;
  // Connections to upstreams that leave end without a crash.
  const auto* entry = context_->catalog.Find(attempt_.upstream.id);
  if (entry == nullptr || entry->leaving) return;
  if (is_broken) ++crashed_attempts_;
  context_->quarantine.OnBroken(
      attempt_.upstream,
      {{attempt_.upstream.id, attempt_.upstream.born_ms},
       attempt_.head_at.value_or(attempt_.sent_at),
       suspects_,
       may_be_cut && attempt_.head->IsSuccess() && end.stream_complete});
}

bool Exchange::MayRunAgain() const {
  return crashed_attempts_ < kMaxCrashedAttempts &&
         !context_->quarantine.IsSuspected(suspects_);
}

}  // namespace firmoor::details
