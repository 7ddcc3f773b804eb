#include "capacity/time_model.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {
namespace {

// Fewer requests may all have met the same short disturbance.
constexpr double kMinSamples = 8;
// Memory of the fit, in samples: a minute of a busy daemon's traffic.
constexpr double kMaxSamples = 256;
// Callers declare the size of their prompts; no engine holds larger ones.
constexpr double kMaxTokens = 2e6;
// A sample counts as at most this multiple of the expected time, so that a slow
// upstream or a pause moves the fit little.
constexpr double kOutlierFactor = 3;
// Disturbances of the network that are not worth telling apart.
constexpr double kOutlierSlackS = 0.005;
// Standard deviation of the prior time per token, as a share of it.
constexpr double kPriorDeviation = 0.5;
// Bounds of the speed, as a multiple of the prior.
constexpr double kMaxSpeedFactor = 10;

}  // namespace

TimeModel::TimeModel(double prior_tokens_per_s)
    : prior_s_per_token_(1 / prior_tokens_per_s) {
  FIRMOOR_PRECONDITION(prior_tokens_per_s > 0, "engines read prompts");
}

bool TimeModel::IsKnown() const { return count_ >= kMinSamples; }

void TimeModel::OnSample(double tokens, double time_s) {
  tokens = std::clamp(tokens, 0.0, kMaxTokens);
  if (IsKnown()) {
    time_s =
        std::min(time_s, kOutlierFactor * Expected(tokens) + kOutlierSlackS);
  }
  count_ = std::min(kMaxSamples, count_ + 1);
  const double weight = 1 / count_;
  const auto update = [weight](double* mean, double value) {
    *mean += (value - *mean) * weight;
  };
  update(&tokens_, tokens);
  update(&time_s_, time_s);
  update(&tokens_squared_, tokens * tokens);
  update(&tokens_by_time_, tokens * time_s);
  update(&time_squared_, time_s * time_s);
}

double TimeModel::SecondsPerToken() const {
  // Ridge regression: the more the times scatter around what the prior
  // explains, the more samples it takes to outweigh it.
  const double variance = std::max(0.0, tokens_squared_ - tokens_ * tokens_);
  const double covariance = tokens_by_time_ - tokens_ * time_s_;
  const double scatter =
      std::max(0.0, time_squared_ - time_s_ * time_s_ -
                        2 * prior_s_per_token_ * covariance +
                        prior_s_per_token_ * prior_s_per_token_ * variance);
  const double deviation = kPriorDeviation * prior_s_per_token_;
  const double prior_weight = scatter / (deviation * deviation);
  const double weight = count_ * variance + prior_weight;
  if (weight <= 0) return prior_s_per_token_;
  const double slope =
      (count_ * covariance + prior_weight * prior_s_per_token_) / weight;
  return std::clamp(slope, prior_s_per_token_ / kMaxSpeedFactor,
                    prior_s_per_token_ * kMaxSpeedFactor);
}

double TimeModel::Expected(double tokens) const {
  const double per_token = SecondsPerToken();
  return std::max(0.0, time_s_ - per_token * tokens_) + per_token * tokens;
}

double TimeModel::TokensPerS() const { return 1 / SecondsPerToken(); }

}  // namespace firmoor
