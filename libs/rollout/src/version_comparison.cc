#include "rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace firmoor {
namespace {

constexpr double kBucketsPerOctave = 2;
constexpr double kMiddleBucket = 12;
// What the baseline did longer ago says little about the same seconds.
constexpr Duration kBaselineMemory{4'000};
// A sound version may fail a few requests, and more while the service does.
constexpr double kSoundFailures = 0.03;
constexpr double kBaselineFactor = 2;
constexpr double kMinDifference = 0.2;
constexpr double kPriorFailures = 0.5;
constexpr double kMaxSoundFailures = 0.7;
// A response is slow that takes about three times the baseline's median.
constexpr std::size_t kSlowBuckets = 3;
constexpr double kMinBaselineSamples = 12;
constexpr double kSoundSlow = 0.2;
constexpr double kMaxSoundSlow = 0.6;
constexpr double kBadSlow = 0.75;

/// Log-likelihood ratio of `hits` of `all` under a probability of `bad`
/// against `sound`.
double LogRatio(double hits, double all, double sound, double bad) {
  return hits * std::log(bad / sound) +
         (all - hits) * std::log((1 - bad) / (1 - sound));
}

template <typename Counts>
double Sum(const Counts& counts, std::size_t from = 0) {
  return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(
                                              std::min(from, counts.size())),
                         counts.end(), 0.0);
}

std::size_t MedianBucket(const std::array<double, kPaceBuckets>& counts) {
  const double half = Sum(counts) / 2;
  double sum = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    sum += counts.at(i);
    if (sum >= half) return i;
  }
  return counts.size() - 1;
}

}  // namespace

std::size_t PaceBucket(double time_ms, double expected_ms) {
  const double ratio = std::max(time_ms, 0.5) / std::max(expected_ms, 0.5);
  const double bucket =
      std::round(kBucketsPerOctave * std::log2(ratio)) + kMiddleBucket;
  return static_cast<std::size_t>(
      std::clamp(bucket, 0.0, static_cast<double>(kPaceBuckets - 1)));
}

std::string_view NameOf(VersionFault fault) {
  switch (fault) {
    case VersionFault::kNone:
      return "none";
    case VersionFault::kFails:
      return "fails";
    case VersionFault::kSlow:
      return "slow";
  }
  return "none";
}

VersionComparison::VersionComparison(double false_alarm)
    : limit_(-std::log(false_alarm)) {}

void VersionComparison::Clear() {
  tests_.clear();
  fault_ = VersionFault::kNone;
  route_.clear();
}

void VersionComparison::Add(const std::string& route, const ArmPair& ended,
                            TimePoint now) {
  for (const auto& name : {route, std::string()}) {
    auto& test = tests_[name];
    auto counts = ended;
    // Routes differ in their times, so only failures are compared in all.
    if (name.empty()) {
      counts.baseline.pace = {};
      counts.target.pace = {};
    }
    AddBaseline(&test, counts.baseline, now);
    AddTarget(&test, counts.target);
    Judge(name, test);
  }
}

void VersionComparison::AddBaseline(Test* test, const ArmCounts& ended,
                                    TimePoint now) {
  const double age = SecondsOf(now - test->decayed_at);
  const double kept = std::exp(-age / SecondsOf(kBaselineMemory));
  test->decayed_at = now;
  test->ended = test->ended * kept + static_cast<double>(ended.ended);
  test->bad = test->bad * kept + static_cast<double>(ended.bad);
  for (std::size_t i = 0; i < kPaceBuckets; ++i) {
    test->pace.at(i) =
        test->pace.at(i) * kept + static_cast<double>(ended.pace.at(i));
  }
}

void VersionComparison::AddTarget(Test* test, const ArmCounts& ended) {
  // Few requests to the baseline do not show that it hardly fails.
  const double failing =
      (test->bad + kPriorFailures) / (test->ended + 2 * kPriorFailures);
  const double sound =
      std::min(kMaxSoundFailures, kSoundFailures + kBaselineFactor * failing);
  test->fails =
      std::max(0.0, test->fails + LogRatio(static_cast<double>(ended.bad),
                                           static_cast<double>(ended.ended),
                                           sound, sound + kMinDifference));
  const double known = Sum(test->pace);
  if (known < kMinBaselineSamples) return;
  const auto slow_from = MedianBucket(test->pace) + kSlowBuckets;
  const double sound_slow =
      std::min(kMaxSoundSlow, kSoundSlow + Sum(test->pace, slow_from) / known);
  test->slow = std::max(
      0.0, test->slow + LogRatio(Sum(ended.pace, slow_from), Sum(ended.pace),
                                 sound_slow, kBadSlow));
}

void VersionComparison::Judge(const std::string& route, const Test& test) {
  if (fault_ != VersionFault::kNone) return;
  if (test.fails >= limit_) {
    fault_ = VersionFault::kFails;
  } else if (test.slow >= limit_) {
    fault_ = VersionFault::kSlow;
  } else {
    return;
  }
  route_ = route;
}

}  // namespace firmoor
