#include <utility>

#include "base/text.h"
#include "details/exchange.h"

namespace firmoor::details {

void Exchange::ChargeQuota(bool may_wait) {
  if (admission_.workspace == nullptr ||
      admission_.workspace->rate_per_s <= 0) {
    return Forward();
  }
  const auto now = MonotonicNow();
  const auto& workspace = *admission_.workspace;
  const double cost = workspace.quota_in_tokens
                          ? request_.Tokens().value_or(workspace.plain_tokens)
                          : 1.0;
  quota_tokens_ = cost;
  auto& quota = context_->AllowanceOf(workspace, now);
  const auto wait = quota.TakeOrWait(cost, now);
  // Other requests may have used a grant that was made for this one.
  const bool waits = wait && may_wait && context_->MayReceiveGrant(now) &&
                     (!has_waited_for_quota_ || quota.MayBeGranted(cost));
  if (waits) AwaitQuotaGrant();
  if (quota.NeedsEarlyReport() && context_->on_grant_needed) {
    context_->on_grant_needed();
  }
  if (waits) return;
  if (!wait) return Forward();
  const auto age = quota.GrantAge(now);
  context_->environment.log->Write(
      "quota-refused",
      {{"request", Text(request_.id)},
       {"workspace", Text(workspace.name)},
       {"tokens", cost},
       {"allowance", quota.level()},
       {"grant_age_ms", static_cast<qint64>(age.count())},
       {"retry_after_ms", static_cast<qint64>(wait->count())}});
  Refuse(ResultCode::kWorkspaceLimit, "The workspace is over its quota",
         RequestOutcome::kNotRun, wait);
}

void Exchange::AwaitQuotaGrant() {
  waiting_for_quota_ = true;
  context_->grant_waiters.Add([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnQuotaGrant(true);
  });
  if (std::exchange(has_waited_for_quota_, true)) return;
  QTimer::singleShot(kGrantTimeout, &timer_, [this] { OnQuotaGrant(false); });
}

void Exchange::OnQuotaGrant(bool may_wait) {
  if (finished_) return;
  const auto self = shared_from_this();
  if (std::exchange(waiting_for_quota_, false)) ChargeQuota(may_wait);
}

}  // namespace firmoor::details
