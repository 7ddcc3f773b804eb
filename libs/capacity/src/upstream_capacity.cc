#include "capacity/upstream_capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

// Reading speed without evidence, of the order of usual engines.
constexpr double kPriorTokensPerS = 50'000;
// Added to times before they are compared: differences of this order come from
// timers and the network.
constexpr double kTimerNoiseS = 0.002;
// Smaller differences for good count as none (log of 1.25).
constexpr double kMinMean = 0.22;
// Smaller peaks count as none: one answer that takes 2.5 times as long shows
// nothing yet (log of 1.6).
constexpr double kMinPeak = 0.47;
// Bounds of the result: a fast upstream is still one of many, and a slow one
// still gets a request now and then.
constexpr double kMinLogSlowness = -0.7;
constexpr double kMaxLogSlowness = 2.8;
// Upstreams among which a median shows what is usual.
constexpr std::size_t kMinUpstreams = 3;
constexpr Duration kCenterMaxAge{100};
// Upstreams without a newer answer don't show whether the service is in
// trouble.
constexpr Duration kPeakMaxAge{3'000};
// Load above which slow answers are put down to the load.
constexpr double kLightLoad = 0.5;
// An upstream slows down before it is full if it takes longer than this
// multiple of its time under a light load; the mean over its answers under load
// must show half of that.
constexpr double kKneeFactor = 2;
constexpr double kKneeMean = 0.41;
constexpr double kLoadedSampleCount = 8;
// One answer counts at most as one that took twice as long as the mean.
constexpr double kMaxLoadedStep = 0.7;
// Repeated changes within this time are not logged.
constexpr Duration kMinChangeInterval{2'000};
constexpr std::size_t kMaxChanges = 64;
// Memory of the additional time to other regions, in samples.
constexpr double kMaxRemoteSamples = 64;

double RatioOf(double time_s, double expected_s) {
  return (time_s + kTimerNoiseS) / (expected_s + kTimerNoiseS);
}

/// The time within the bounds of the work that is closest to `time_s`.
double ExpectedTime(const TimeModel& model, const CapacityWork& work,
                    double time_s) {
  const double least = model.Expected(work.tokens);
  const double most = model.Expected(work.tokens + work.uncertain_tokens);
  return std::clamp(time_s, least, most);
}

double Median(std::vector<double>* values) {
  if (values->size() < kMinUpstreams) return 0;
  const auto middle =
      values->begin() + static_cast<std::ptrdiff_t>(values->size() / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

std::string_view NameOf(UpstreamCondition condition) {
  constexpr std::string_view kNames[] = {"even", "fast", "slow", "slow-now",
                                         "slow-full"};
  return kNames[static_cast<int>(condition)];
}

const UpstreamCapacity::Center& UpstreamCapacity::CenterOf(
    const Service& service, TimePoint now) {
  auto& center = service.center;
  if (center.at != TimePoint() && now - center.at < kCenterMaxAge) {
    return center;
  }
  std::vector<double> means;
  std::vector<double> peaks;
  for (const auto& [id, upstream] : service.upstreams) {
    means.push_back(upstream.speed.Mean(now));
    if (now - upstream.speed.sampled_at() <= kPeakMaxAge) {
      peaks.push_back(upstream.speed.Peak(now));
    }
  }
  center = {Median(&means), Median(&peaks), now};
  return center;
}

double UpstreamCapacity::MeanOf(const Service& service,
                                const Upstream& upstream, TimePoint now) {
  const double mean = upstream.speed.Mean(now) - CenterOf(service, now).mean;
  return std::abs(mean) < kMinMean ? 0 : mean;
}

double UpstreamCapacity::PeakOf(const Service& service,
                                const Upstream& upstream, TimePoint now) {
  const double peak = upstream.speed.Peak(now) - CenterOf(service, now).peak;
  return peak < kMinPeak ? 0 : peak;
}

const UpstreamCapacity::Upstream* UpstreamCapacity::Find(
    const std::string& service, const std::string& id) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return nullptr;
  const auto upstream = found->second.upstreams.find(id);
  return upstream == found->second.upstreams.end() ? nullptr
                                                   : &upstream->second;
}

double UpstreamCapacity::Slowness(const std::string& service,
                                  const std::string& id, TimePoint now) const {
  const auto* upstream = Find(service, id);
  if (upstream == nullptr) return 1;
  const auto& of = services_.at(service);
  const double mean = MeanOf(of, *upstream, now);
  const double peak = PeakOf(of, *upstream, now);
  const double slowness = peak > 0 ? std::max(mean, peak) : mean;
  return std::exp(std::clamp(slowness, kMinLogSlowness, kMaxLogSlowness));
}

double UpstreamCapacity::Overload(const std::string& service,
                                  const std::string& id,
                                  std::int64_t in_flight) const {
  const auto* upstream = Find(service, id);
  if (upstream == nullptr || !upstream->limit) return 0;
  const auto& limit = *upstream->limit;
  if (!limit.IsReduced()) return 0;
  const auto excess = std::max<std::int64_t>(0, in_flight + 1 - limit.value());
  return static_cast<double>(excess) / static_cast<double>(limit.value());
}

std::optional<double> UpstreamCapacity::BaseTime(
    const std::string& service, const std::string& kind) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const auto model = found->second.models.find(kind);
  const bool known =
      model != found->second.models.end() && model->second.IsKnown();
  return known ? std::optional(model->second.Base()) : std::nullopt;
}

double UpstreamCapacity::TokensPerS(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return kPriorTokensPerS;
  const auto model = found->second.models.find("");
  const bool known =
      model != found->second.models.end() && model->second.IsKnown();
  return known ? model->second.TokensPerS() : kPriorTokensPerS;
}

std::optional<double> UpstreamCapacity::OnSample(const CapacitySample& sample,
                                                 TimePoint now) {
  auto& service = services_[sample.work.service];
  auto& model = service.models.try_emplace(sample.work.kind, kPriorTokensPerS)
                    .first->second;
  const bool is_light = sample.load <= kLightLoad;
  double time_s = SecondsOf(sample.time) - sample.queue_s;
  if (sample.is_remote) time_s -= service.remote_s;
  time_s = std::max(0.0, time_s);
  const bool known = model.IsKnown();
  const double expected = ExpectedTime(model, sample.work, time_s);
  const double ratio = RatioOf(time_s, expected);
  // A request that was given up early shows nothing.
  if (sample.is_lower_bound && (!known || ratio <= 1)) return std::nullopt;
  const bool is_exact =
      !sample.is_lower_bound && sample.work.uncertain_tokens == 0;
  if (is_light && is_exact) {
    LearnUsualTime(sample, time_s, &service, &model);
  }
  if (!known) return std::nullopt;
  auto& upstream = service.upstreams[sample.id];
  if (is_light) {
    upstream.speed.OnSample(std::log(ratio), now);
  } else {
    OnLoadedSample(&upstream, sample, time_s, expected, now);
  }
  RecordChange(service, &upstream, sample, now);
  return ratio;
}

void UpstreamCapacity::LearnUsualTime(const CapacitySample& sample,
                                      double time_s, Service* service,
                                      TimeModel* model) {
  if (!sample.is_remote) return model->OnSample(sample.work.tokens, time_s);
  if (!model->IsKnown()) return;
  const double expected = model->Expected(sample.work.tokens);
  const double excess =
      SecondsOf(sample.time) - sample.queue_s - expected - service->remote_s;
  service->remote_samples =
      std::min(kMaxRemoteSamples, service->remote_samples + 1);
  service->remote_s += std::min(excess, kKneeFactor * expected + kTimerNoiseS) /
                       service->remote_samples;
  service->remote_s = std::max(0.0, service->remote_s);
}

void UpstreamCapacity::OnLoadedSample(Upstream* upstream,
                                      const CapacitySample& sample,
                                      double time_s, double expected_s,
                                      TimePoint now) {
  const double alone_s = expected_s * std::exp(upstream->speed.Mean(now));
  const double by_load = std::log(RatioOf(time_s, alone_s));
  upstream->speed.OnLoadedSample(by_load - std::max(0.0, upstream->loaded),
                                 now);
  upstream->loaded +=
      std::clamp(by_load - upstream->loaded, -kMaxLoadedStep, kMaxLoadedStep) /
      kLoadedSampleCount;
  if (!upstream->limit) upstream->limit.emplace(sample.ceiling);
  auto& limit = *upstream->limit;
  limit.SetCeiling(sample.ceiling);
  const double bound_s = kKneeFactor * (alone_s + kTimerNoiseS);
  // A few late answers among many are not due to the load.
  if (time_s > bound_s && upstream->loaded <= kKneeMean) return;
  limit.OnSample(DurationOfSeconds(time_s), DurationOfSeconds(bound_s),
                 sample.in_flight >= limit.value(), now);
}

UpstreamCondition UpstreamCapacity::ConditionOf(const Service& service,
                                                const Upstream& upstream,
                                                TimePoint now) {
  const double mean = MeanOf(service, upstream, now);
  const double peak = PeakOf(service, upstream, now);
  if (peak > std::max(0.0, mean) + kMinPeak) return UpstreamCondition::kSlowNow;
  if (mean > 0) return UpstreamCondition::kSlow;
  if (upstream.limit && upstream.limit->IsReduced()) {
    return UpstreamCondition::kSlowFull;
  }
  return mean < 0 ? UpstreamCondition::kFast : UpstreamCondition::kEven;
}

void UpstreamCapacity::RecordChange(const Service& service, Upstream* upstream,
                                    const CapacitySample& sample,
                                    TimePoint now) {
  const auto condition = ConditionOf(service, *upstream, now);
  const bool is_repeated = upstream->changed_at != TimePoint() &&
                           now - upstream->changed_at < kMinChangeInterval;
  if (condition == upstream->condition || is_repeated) return;
  upstream->condition = condition;
  upstream->changed_at = now;
  if (changes_.size() >= kMaxChanges) changes_.pop_front();
  changes_.push_back(
      {sample.id, sample.work.service, condition,
       Slowness(sample.work.service, sample.id, now),
       upstream->limit ? upstream->limit->value() : sample.ceiling,
       upstream->speed.samples()});
}

void UpstreamCapacity::Remove(const std::string& service,
                              const std::string& id) {
  const auto found = services_.find(service);
  if (found != services_.end()) found->second.upstreams.erase(id);
}

std::vector<CapacityChange> UpstreamCapacity::TakeChanges() {
  std::vector<CapacityChange> changes(changes_.begin(), changes_.end());
  changes_.clear();
  return changes;
}

}  // namespace firmoor
