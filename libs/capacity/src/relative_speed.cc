#include "capacity/relative_speed.h"

#include <algorithm>
#include <cmath>

namespace firmoor {
namespace {

// Time constants of the mean: pauses of some seconds must not raise it much,
// and an upstream that is well again must show it soon.
constexpr double kMeanRiseS = 20;
constexpr double kMeanFallS = 5;
// One sample moves the mean by at most this share of its deviation, which
// counts at most as a factor of two: few samples are mostly chance.
constexpr double kMaxMeanGain = 1.0 / 8;
constexpr double kMaxDeviation = 0.7;
// An upstream without samples for so long is gradually taken for a usual one,
// so that it is tried again.
constexpr Duration kMeanMaxAge{10'000};
constexpr double kMeanDecayS = 10;
// Share of a rise that one slow answer shows, and of a fall that a normal one
// does.
constexpr double kPeakGain = 0.5;
// Pauses of upstreams last from half a second to some seconds.
constexpr double kPeakDecayS = 1.5;

double Decay(TimePoint since, TimePoint now, double time_constant_s) {
  return std::exp(-std::max(0.0, SecondsOf(now - since)) / time_constant_s);
}

}  // namespace

double RelativeSpeed::Mean(TimePoint now) const {
  return mean_ * Decay(sampled_at_ + kMeanMaxAge, now, kMeanDecayS);
}

double RelativeSpeed::Peak(TimePoint now) const {
  return peak_ * Decay(sampled_at_, now, kPeakDecayS);
}

void RelativeSpeed::OnSample(double log_ratio, TimePoint now) {
  mean_ = Mean(now);
  const double deviation =
      std::clamp(log_ratio - mean_, -kMaxDeviation, kMaxDeviation);
  const double time_constant_s = deviation > 0 ? kMeanRiseS : kMeanFallS;
  const double since_s = SecondsOf(now - sampled_at_);
  mean_ += deviation * std::min(kMaxMeanGain, since_s / time_constant_s);
  UpdatePeak(log_ratio, now);
}

void RelativeSpeed::OnLoadedSample(double log_ratio, TimePoint now) {
  mean_ = Mean(now);
  UpdatePeak(log_ratio, now);
}

void RelativeSpeed::UpdatePeak(double log_ratio, TimePoint now) {
  const double peak = Peak(now);
  peak_ = peak + (log_ratio - peak) * kPeakGain;
  sampled_at_ = now;
  ++samples_;
}

}  // namespace firmoor
