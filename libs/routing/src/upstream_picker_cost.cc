#include <algorithm>
#include <utility>

#include "routing/upstream_picker.h"

namespace firmoor {
namespace {

// Prefill rate in tokens per second without learning, of the order of usual
// engines (54.6 tokens per ms).
constexpr double kPrefillTokensPerS = 50'000;
// Recomputing shared chunks also delays the streams that run beside it, so it
// counts more than its own time (see docs/PLATFORM.md).
constexpr double kRecomputeFactor = 2.0;
// Delay of the first event per request in the same batch: each one lengthens a
// step by 0.12 ms, and the first event takes about 60 steps.
constexpr double kInterferencePerRequestS = 0.007;
// Penalties for crossing zones and regions, from their latency and price.
constexpr double kOtherZoneS = 0.002;
constexpr double kOtherRegionS = 0.08;
// Service time of a plain request, to weigh load against distance.
constexpr double kPlainRequestTimeS = 0.03;
// Ratios kept for metrics until they are taken.
constexpr std::size_t kMaxTimeRatios = 256;

}  // namespace

double UpstreamPicker::Cost(const Upstream& upstream,
                            const PickRequest& request, bool is_home,
                            TimePoint now) const {
  const double distance =
      IsRemote(upstream.entry) ? kOtherRegionS
      : upstream.entry.availability_zone == location_.availability_zone
          ? 0
          : kOtherZoneS;
  if (IsEngine(request.service)) {
    return distance + EngineCost(upstream, request, is_home, now);
  }
  return distance + PlainCost(upstream, request, now);
}

double UpstreamPicker::PlainCost(const Upstream& upstream,
                                 const PickRequest& request,
                                 TimePoint now) const {
  const auto running = static_cast<double>(upstream.in_flight);
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, upstream.entry.slots));
  const double slowness = Slowness(upstream, now);
  return kPlainRequestTimeS * running / slots * slowness +
         ExtraTime(upstream, request.kind, slowness);
}

bool UpstreamPicker::LearnsCapacityOf(const std::string& service) const {
  return options_.learned_capacity &&
         (options_.learned_engines || !IsEngine(service));
}

double UpstreamPicker::Slowness(const Upstream& upstream, TimePoint now) const {
  if (!LearnsCapacityOf(upstream.entry.service)) return 1;
  return capacity_.Slowness(upstream.entry.service, upstream.entry.id, now);
}

double UpstreamPicker::ExtraTime(const Upstream& upstream,
                                 const std::string& kind,
                                 double slowness) const {
  if (!LearnsCapacityOf(upstream.entry.service)) return 0;
  const auto& entry = upstream.entry;
  const double overload =
      capacity_.Overload(entry.service, entry.id, upstream.in_flight);
  if (slowness == 1 && overload == 0) return 0;
  const double base_s =
      capacity_.BaseTime(entry.service, kind).value_or(kPlainRequestTimeS);
  return base_s * (slowness - 1 + overload);
}

double UpstreamPicker::EngineCost(const Upstream& upstream,
                                  const PickRequest& request, bool is_home,
                                  TimePoint now) const {
  constexpr double kMsPerSecond = 1'000;
  const auto engine = LoadViewOf(upstream);
  const double running =
      std::min(loads_.Requests(engine, now),
               static_cast<double>(std::max<std::int64_t>(1, engine.slots)));
  const double uncached = UncachedTokens(upstream, request, is_home);
  const auto wait = static_cast<double>(loads_.Wait(engine, now).count());
  const double slowness = Slowness(upstream, now);
  const double tokens_per_s = LearnsCapacityOf(request.service)
                                  ? capacity_.TokensPerS(request.service)
                                  : kPrefillTokensPerS;
  const double work_s =
      (upstream.queued_tokens + kRecomputeFactor * uncached) / tokens_per_s +
      kInterferencePerRequestS * running;
  return wait / kMsPerSecond + work_s * slowness +
         ExtraTime(upstream, "", slowness);
}

CapacityWork UpstreamPicker::WorkOf(const Upstream& upstream,
                                    const PickRequest& request,
                                    double uncached) const {
  const auto& service = upstream.entry.service;
  if (!IsEngine(service)) return {service, request.kind, 0, 0};
  // All chunks but the last may be cached for requests of other daemons.
  double shared = 0;
  for (std::size_t i = 0; i + 1 < request.chunks.size(); ++i) {
    shared += request.chunks[i].tokens;
  }
  const double own = std::max(0.0, request.prompt_tokens - shared);
  const double read = std::min(own, uncached);
  return {service, "", read, uncached - read};
}

CapacitySample UpstreamPicker::SampleOf(const Upstream& upstream,
                                        const PickRequest& request,
                                        double uncached, TimePoint now) const {
  const auto& entry = upstream.entry;
  const bool is_engine = IsEngine(entry.service);
  const auto slots = std::max<std::int64_t>(1, entry.slots);
  CapacitySample sample;
  sample.id = entry.id;
  sample.work = WorkOf(upstream, request, uncached);
  sample.is_remote = IsRemote(entry);
  sample.in_flight = upstream.in_flight + 1;
  sample.ceiling = CeilingOf(entry);
  auto beside = static_cast<double>(upstream.in_flight);
  if (is_engine) {
    const auto engine = LoadViewOf(upstream);
    beside = loads_.Requests(engine, now);
    sample.queue_s =
        SecondsOf(loads_.Wait(engine, now)) +
        upstream.queued_tokens / capacity_.TokensPerS(entry.service) +
        kInterferencePerRequestS * std::min(beside, static_cast<double>(slots));
  }
  sample.load = beside / static_cast<double>(slots);
  return sample;
}

void UpstreamPicker::LearnFrom(PickTicket* ticket, bool is_lower_bound,
                               TimePoint now) {
  auto sample = std::exchange(ticket->sample, std::nullopt);
  if (!sample) return;
  const auto found = upstreams_.find(sample->id);
  // A late answer of an instance says nothing of the one that replaced it.
  const bool is_of_instance = found != upstreams_.end() &&
                              found->second.entry.born_ms == ticket->born_ms;
  if (!is_of_instance) return;
  sample->time = now - ticket->sent_at;
  sample->is_lower_bound = is_lower_bound;
  const auto ratio = capacity_.OnSample(*sample, now);
  if (ratio && time_ratios_.size() < kMaxTimeRatios) {
    time_ratios_.push_back(*ratio);
  }
}

std::vector<double> UpstreamPicker::TakeTimeRatios() {
  return std::exchange(time_ratios_, {});
}

}  // namespace firmoor
