#include <fmt/format.h>

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"
#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Longer than callers take to come back, so that one that comes back too soon
// draws the same lot. Afterwards others are drawn.
constexpr std::int64_t kLotPeriodMs = 10'000;

/// Depends on the request's content, since its id changes when it is repeated.
double LotOf(const ForwardRequest& request, std::string_view workspace,
             std::int64_t true_ms) {
  const auto period = true_ms / kLotPeriodMs;
  if (request.prompt_chunks.empty()) {
    return HashFraction(fmt::format("{} {}", request.id, period));
  }
  return HashFraction(fmt::format("{} {} {}", workspace,
                                  request.prompt_chunks.back().id, period));
}

}  // namespace

std::optional<Duration> Exchange::RefusalForShortage(
    const UpstreamEntry& upstream, TimePoint now) {
  const bool is_by_urgency = context_->settings.strategies.urgency &&
                             context_->shortage.Concerns(service_);
  if (is_by_urgency) return RefusalByUrgency(upstream, now);
  if (!IsSlotWaitTooLong(*admission_.route, expected_wait_)) {
    return std::nullopt;
  }
  return std::max(RetryDelay(),
                  JitteredRetryDelay(expected_wait_, request_.id));
}

std::optional<Duration> Exchange::RefusalByUrgency(
    const UpstreamEntry& upstream, TimePoint now) {
  ShortageRequest asked;
  asked.service = service_;
  asked.route = admission_.route->name;
  if (admission_.workspace != nullptr) {
    asked.workspace = admission_.workspace->name;
  }
  asked.priority = admission_.Priority();
  asked.time_left = std::max(ends_at_ - now, Duration(0));
  asked.expected_wait = expected_wait_;
  asked.occupancy = context_->picker.Occupancy(upstream.id, now);
  asked.lot = LotOf(request_, asked.workspace,
                    context_->environment.true_time->At(now));
  asked.is_first_attempt = !std::exchange(counted_as_demand_, true);
  const auto decision = context_->shortage.Decide(asked, now);
  shortage_priority_ = decision.upstream_priority;
  if (decision.verdict != ShortageVerdict::kRefuse) return std::nullopt;
  LogShortage(asked, decision);
  return decision.retry_after;
}

void Exchange::LogShortage(const ShortageRequest& asked,
                           const ShortageDecision& decision) const {
  context_->environment.log->Write(
      "admission-refused",
      {{"request", Text(request_.id)},
       {"service", Text(service_)},
       {"workspace", Text(asked.workspace)},
       {"priority", asked.priority},
       {"reason", Text(NameOf(decision.reason))},
       {"level", decision.level},
       {"share", decision.share},
       {"source", decision.is_own_view ? "own" : "coordinator"},
       {"occupancy", asked.occupancy},
       {"expected_ms", static_cast<qint64>(asked.expected_wait.count())},
       {"wait_ms", static_cast<qint64>(decision.wait.count())},
       {"tolerated_ms", static_cast<qint64>(decision.tolerated.count())},
       {"time_left_ms", static_cast<qint64>(asked.time_left.count())},
       {"returned", decision.has_returned},
       {"retry_after_ms", static_cast<qint64>(decision.retry_after.count())}});
}

}  // namespace firmoor::details
