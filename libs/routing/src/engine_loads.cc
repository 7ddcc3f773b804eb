#include "routing/engine_loads.h"

#include <algorithm>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Streams of the deployments run for one to two seconds, so most requests that
// a report counted have ended by then.
constexpr Duration kReportMaxAge{1'000};
// Reports lag the engine by about 200 ms, so a newer report would show the same
// state.
constexpr Duration kReportFreshTime{200};
// Used until the first request ends: the order of magnitude of short streams.
constexpr double kDefaultRequestTimeS = 1;
// Weight of the running means, in samples: a few seconds of a daemon's traffic.
constexpr double kMeanSampleCount = 32;
// Requests with an output limit below this fraction of the mean are not probed
// for: they cost engines little, while a probe costs the same as for a large
// request.
constexpr double kMinProbedFraction = 0.5;

void UpdateMean(std::optional<double>* mean, double value) {
  *mean = mean->value_or(value) +
          (value - mean->value_or(value)) / kMeanSampleCount;
}

}  // namespace

void EngineLoads::OnReport(const Engine& engine, const EngineLoad& load,
                           TimePoint now) {
  reports_[engine.id] = {load, now, engine.own};
  auto& means = means_[engine.service];
  means.reported_at = now;
  UpdateMean(&means.requests, static_cast<double>(load.running + load.waiting));
}

void EngineLoads::OnRequestEnd(const std::string& service, Duration ran) {
  UpdateMean(&means_[service].request_time_s,
             static_cast<double>(ran.count()) / kMsPerSecond);
}

void EngineLoads::OnRequest(const std::string& service, double output_tokens) {
  UpdateMean(&means_[service].output_tokens, output_tokens);
}

const EngineLoads::Means& EngineLoads::MeansFor(
    const std::string& service) const {
  static const Means unknown;
  const auto found = means_.find(service);
  return found == means_.end() ? unknown : found->second;
}

double EngineLoads::Requests(const Engine& engine, TimePoint now) const {
  const auto own = static_cast<double>(engine.own);
  const auto found = reports_.find(engine.id);
  if (found != reports_.end() && now - found->second.at <= kReportMaxAge) {
    const auto& report = found->second;
    const auto reported =
        static_cast<double>(report.load.running + report.load.waiting);
    return std::max(own, reported + own - static_cast<double>(report.own));
  }
  const auto& means = MeansFor(engine.service);
  const bool known = means.requests && now - means.reported_at <= kReportMaxAge;
  return known ? std::max(own, *means.requests) : own;
}

Duration EngineLoads::Wait(const Engine& engine, TimePoint now) const {
  const double request_time_s =
      MeansFor(engine.service).request_time_s.value_or(kDefaultRequestTimeS);
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, engine.slots));
  // Every request ahead in excess of the slots must end first.
  const double ahead = std::max(0.0, Requests(engine, now) + 1 - slots);
  return Duration(
      static_cast<std::int64_t>(kMsPerSecond * ahead / slots * request_time_s));
}

bool EngineLoads::IsFresh(const std::string& id, TimePoint now) const {
  const auto found = reports_.find(id);
  return found != reports_.end() && now - found->second.at <= kReportFreshTime;
}

bool EngineLoads::IsWorthProbing(const std::string& service,
                                 double output_tokens) const {
  const auto mean = MeansFor(service).output_tokens;
  return !mean || output_tokens >= *mean * kMinProbedFraction;
}

}  // namespace firmoor
