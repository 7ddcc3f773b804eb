#include "limits/quota_allowance.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Grants come once a second; after two missing ones the daemon is on its own.
constexpr Duration kGrantLifetime{2'500};
// Waits told to callers: a grant comes within a second, and a workspace that
// asks for much more than its quota waits for the window to move on.
constexpr Duration kShortestWait{200};
constexpr Duration kLongestWait{3'000};
// An allowance below this part of what is left after a pass is worth a report.
constexpr double kLowPart = 0.3;

}  // namespace

void QuotaAllowance::WindowSum::Add(double tokens, TimePoint now) {
  entries.push_back({now, tokens});
  sum += tokens;
}

void QuotaAllowance::WindowSum::Prune(TimePoint oldest) {
  while (!entries.empty() && entries.front().at < oldest) {
    sum -= entries.front().tokens;
    entries.pop_front();
  }
  if (entries.empty()) sum = 0;
}

QuotaAllowance::QuotaAllowance(QuotaLimit limit, Fallback fallback,
                               TimePoint now)
    : limit_(limit),
      fallback_(fallback),
      level_(limit.burst * fallback.share),
      granted_at_(now - kGrantLifetime),
      accrued_at_(now) {}

void QuotaAllowance::SetLimit(QuotaLimit limit, Fallback fallback) {
  limit_ = limit;
  fallback_ = fallback;
}

void QuotaAllowance::Accrue(TimePoint now) {
  const auto from = std::max(accrued_at_, granted_at_ + kGrantLifetime);
  accrued_at_ = std::max(accrued_at_, now);
  if (now <= from) return;
  const double elapsed_s =
      static_cast<double>((now - from).count()) / kMsPerSecond;
  const double rate = limit_.rate_per_s * fallback_.share;
  // What passed before the coordinator was lost counts in its window too.
  passed_.Prune(now - limit_.window);
  const double left =
      std::max(0.0, limit_.PerWindow() * fallback_.share - passed_.sum);
  const double full = std::min(limit_.burst * fallback_.share, left);
  if (level_ < full) level_ = std::min(full, level_ + rate * elapsed_s);
}

std::optional<Duration> QuotaAllowance::TakeOrWait(double tokens,
                                                   TimePoint now) {
  if (limit_.rate_per_s <= 0) return std::nullopt;
  Accrue(now);
  asked_.Add(tokens, now);
  if (level_ + fallback_.debt >= tokens) {
    level_ -= tokens;
    passed_since_report_ += tokens;
    passed_.Add(tokens, now);
    short_ = short_ || level_ < kLowPart * tokens;
    return std::nullopt;
  }
  short_ = true;
  needed_ += tokens;
  const double rate = std::max(limit_.rate_per_s * fallback_.share, 1.0);
  const double missing = tokens - level_ - fallback_.debt;
  const Duration wait(static_cast<std::int64_t>(missing / rate * kMsPerSecond));
  return std::clamp(wait, kShortestWait, kLongestWait);
}

QuotaUse QuotaAllowance::Report(TimePoint now) {
  passed_.Prune(now - limit_.window);
  asked_.Prune(now - limit_.window);
  passed_since_report_ = 0;
  short_ = false;
  return {passed_.sum, asked_.sum, std::exchange(needed_, 0)};
}

void QuotaAllowance::OnGrant(double tokens, TimePoint now) {
  level_ = tokens - passed_since_report_;
  granted_at_ = now;
  accrued_at_ = now;
}

}  // namespace firmoor
