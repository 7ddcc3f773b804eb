#include "details/exchange.h"

namespace firmoor::details {
namespace {

// A request under which so many connections broke is not sent to a third
// upstream, whether or not anyone else suspects it.
constexpr int kMaxCrashedAttempts = 2;

}  // namespace

bool Exchange::RejectQuarantined() {
  if (race_.in_flight() > 0) return context_->quarantine.HasVerdict(suspects_);
  if (context_->quarantine.Reject(request_.id, suspects_) == nullptr) {
    return false;
  }
  // Without a time to come back: the request would only be rejected again.
  Refuse(ResultCode::kQuarantined, "", OutcomeSoFar(), std::nullopt);
  return true;
}

bool Exchange::MayRunAgain() const {
  return crashed_attempts_ < kMaxCrashedAttempts &&
         !context_->quarantine.IsSuspected(suspects_);
}

}  // namespace firmoor::details
