#include "capacity/time_model.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {
namespace {

// Fewer requests may all have met the same short disturbance.
constexpr double kMinSamples = 8;
// Memory of the fit, in samples: a minute of a busy daemon's traffic.
constexpr double kMaxSamples = 256;
// A sample counts as at most this multiple of the expected time, so that a slow
// upstream or a pause moves the fit little.
constexpr double kOutlierFactor = 3;
// Disturbances of the network that are not worth telling apart.
constexpr double kOutlierSlackS = 0.005;
// The prior counts as much as this many requests whose sizes differ by this
// number of tokens.
constexpr double kPriorSamples = 8;
constexpr double kPriorSpreadTokens = 1'000;
// Bounds of the speed, as a multiple of the prior.
constexpr double kMaxSpeedFactor = 10;

}  // namespace

TimeModel::TimeModel(double prior_tokens_per_s)
    : prior_s_per_token_(1 / prior_tokens_per_s) {
  FIRMOOR_PRECONDITION(prior_tokens_per_s > 0, "engines read prompts");
}

bool TimeModel::IsKnown() const { return count_ >= kMinSamples; }

void TimeModel::OnSample(double tokens, double time_s) {
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
}

double TimeModel::SecondsPerToken() const {
  constexpr double kPriorWeight =
      kPriorSamples * kPriorSpreadTokens * kPriorSpreadTokens;
  const double variance =
      count_ * std::max(0.0, tokens_squared_ - tokens_ * tokens_);
  const double covariance = count_ * (tokens_by_time_ - tokens_ * time_s_);
  const double slope = (covariance + kPriorWeight * prior_s_per_token_) /
                       (variance + kPriorWeight);
  return std::clamp(slope, prior_s_per_token_ / kMaxSpeedFactor,
                    prior_s_per_token_ * kMaxSpeedFactor);
}

double TimeModel::Expected(double tokens) const {
  const double per_token = SecondsPerToken();
  return std::max(0.0, time_s_ - per_token * tokens_) + per_token * tokens;
}

double TimeModel::TokensPerS() const { return 1 / SecondsPerToken(); }

}  // namespace firmoor
