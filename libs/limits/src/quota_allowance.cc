#include "limits/quota_allowance.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Grants arrive every second; after two missed ones the daemon falls back to
// its own share.
constexpr Duration kGrantLifetime{2'500};
// Bounds of the wait told to callers: the next grant arrives within a second,
// and a workspace far above its quota has to wait for the window to advance.
constexpr Duration kMinWait{200};
constexpr Duration kMaxWait{3'000};
// An early report is sent if the allowance left is below this fraction of the
// request just admitted.
constexpr double kLowFraction = 0.3;

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
      started_at_(now),
      granted_at_(now - kGrantLifetime),
      accrued_at_(now) {}

void QuotaAllowance::SetLimit(QuotaLimit limit, Fallback fallback) {
  limit_ = limit;
  fallback_ = fallback;
}

void QuotaAllowance::Accrue(TimePoint now) {
  const bool continues = grant_ && now < continues_until_;
  if (continues) {
    admitted_.Prune(now - limit_.window);
    level_ = std::max(level_, HeldTokens() - admitted_.sum);
  }
  const auto from = std::max(accrued_at_, granted_at_ + kGrantLifetime);
  accrued_at_ = std::max(accrued_at_, now);
  if (now <= from) return;
  const double elapsed_s =
      static_cast<double>((now - from).count()) / kMsPerSecond;
  const double rate = limit_.rate_per_s * fallback_.share;
  // Tokens admitted before the coordinator was lost still count in the window.
  admitted_.Prune(now - limit_.window);
  // Negative if overdrawn; refills only when the overdraft has left the window.
  const double left = Entitlement() - admitted_.sum - PriorUsageInWindow(now);
  const double full = std::min(limit_.burst * fallback_.share, left);
  // The coordinator does not hold the allowance any longer.
  const bool has_lapsed =
      grant_ && grant_->continuation > Duration(0) && !continues;
  if (has_lapsed) level_ = std::min(level_, std::max(0.0, full));
  if (level_ < full) level_ = std::min(full, level_ + rate * elapsed_s);
}

double QuotaAllowance::PriorUsageInWindow(TimePoint now) const {
  const auto unobserved = limit_.window - (now - started_at_);
  // A grant already accounts for prior usage.
  if (grant_ || unobserved <= Duration(0)) return 0;
  if (prior_usage_) return *prior_usage_ * fallback_.share;
  return limit_.rate_per_s * fallback_.share *
         static_cast<double>(unobserved.count()) / kMsPerSecond;
}

void QuotaAllowance::SetPriorUsage(double tokens, TimePoint now) {
  if (grant_) return;
  prior_usage_ = tokens;
  const double left = Entitlement() - admitted_.sum - PriorUsageInWindow(now);
  level_ = std::max(level_, std::min(limit_.burst * fallback_.share, left));
}

double QuotaAllowance::HeldTokens() const {
  return admitted_before_grant_ + grant_->tokens;
}

double QuotaAllowance::Entitlement() const {
  if (!grant_) return limit_.PerWindow() * fallback_.share;
  // The entitlements of all daemons add up to what the coordinator knew,
  // however unevenly the quota was used.
  return HeldTokens() +
         grant_->unassigned * fallback_.share * kUnassignedFraction;
}

std::optional<Duration> QuotaAllowance::TakeOrWait(double tokens,
                                                   TimePoint now) {
  if (limit_.rate_per_s <= 0) return std::nullopt;
  Accrue(now);
  requested_.Add(tokens, now);
  if (level_ + fallback_.max_overdraft >= tokens) {
    level_ -= tokens;
    admitted_total_ += tokens;
    admitted_.Add(tokens, now);
    const bool is_low = level_ < kLowFraction * tokens;
    needs_early_report_ =
        needs_early_report_ || (is_low && MayBeRefilled(tokens));
    return std::nullopt;
  }
  needs_early_report_ = true;
  pending_ += tokens;
  return WaitFor(tokens, now);
}

Duration QuotaAllowance::WaitFor(double tokens, TimePoint now) const {
  // The coordinator grants what the window has left to any daemon that needs
  // it. Without it, a daemon only has its share.
  const bool granted = grant_ && now - granted_at_ < kGrantLifetime;
  const double share = granted ? 1 : fallback_.share;
  const double unassigned_tokens = granted ? grant_->unassigned : 0;
  const double rate = std::max(limit_.rate_per_s * share, 1.0);
  const double shortfall = std::max(
      0.0, tokens - level_ - fallback_.max_overdraft - unassigned_tokens);
  const Duration wait(
      static_cast<std::int64_t>(shortfall / rate * kMsPerSecond));
  return std::clamp(wait, kMinWait, kMaxWait);
}

bool QuotaAllowance::MayBeRefilled(double tokens) const {
  return !refill_ || *refill_ >= tokens;
}

bool QuotaAllowance::MayBeGranted(double tokens) const {
  return grant_ &&
         level_ + fallback_.max_overdraft + grant_->unassigned >= tokens;
}

QuotaUsage QuotaAllowance::Report(TimePoint now, ReportNumber number) {
  admitted_.Prune(now - limit_.window);
  requested_.Prune(now - limit_.window);
  needs_early_report_ = false;
  // Replies come much earlier than this.
  while (!sent_reports_.empty() &&
         sent_reports_.front().at < now - limit_.window) {
    sent_reports_.pop_front();
  }
  const double pending = std::exchange(pending_, 0);
  sent_reports_.push_back(
      {number, now, admitted_.sum, pending, admitted_total_});
  const bool started_in_window = now - started_at_ < limit_.window;
  const bool continues = grant_ && now < continues_until_;
  return {admitted_.sum, requested_.sum, pending, started_in_window,
          continues ? std::max(0.0, HeldTokens()) : 0};
}

std::optional<QuotaAllowance::SentReport> QuotaAllowance::FindSentReport(
    std::optional<ReportNumber> report) {
  if (!report) {
    return sent_reports_.empty() ? SentReport{} : sent_reports_.back();
  }
  while (!sent_reports_.empty() && sent_reports_.front().number < *report) {
    sent_reports_.pop_front();
  }
  const bool is_found =
      !sent_reports_.empty() && sent_reports_.front().number == *report;
  return is_found ? std::optional(sent_reports_.front()) : std::nullopt;
}

bool QuotaAllowance::IsIdle(TimePoint now) {
  admitted_.Prune(now - limit_.window);
  requested_.Prune(now - limit_.window);
  // The last report still counts for what it told.
  return grant_ && grant_->tokens == 0 && admitted_before_grant_ == 0 &&
         admitted_.entries.empty() && requested_.entries.empty();
}

void QuotaAllowance::OnOmitted(TimePoint now) {
  level_ = -AdmittedSince(*FindSentReport(std::nullopt));
  granted_at_ = now;
  accrued_at_ = now;
}

void QuotaAllowance::OnGrant(const QuotaGrant& grant, TimePoint now,
                             std::optional<ReportNumber> report) {
  const auto sent = FindSentReport(report);
  if (!sent) return;
  grant_ = grant;
  // A grant above what was pending is the one that is made without it, too.
  if (sent->pending == 0 || grant.tokens > sent->pending) {
    refill_ = grant.tokens;
  }
  admitted_before_grant_ = sent->admitted;
  continues_until_ =
      (sent_reports_.empty() ? now : sent->at) + grant.continuation;
  level_ = grant.tokens - AdmittedSince(*sent);
  granted_at_ = now;
  accrued_at_ = now;
}

}  // namespace firmoor
