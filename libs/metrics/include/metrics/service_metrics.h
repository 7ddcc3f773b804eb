#ifndef FIRMOOR_METRICS_SERVICE_METRICS_H_
#define FIRMOOR_METRICS_SERVICE_METRICS_H_

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/result_code.h"
#include "base/time.h"

namespace firmoor {

/// One finished request.
struct RequestSample {
  std::string service;
  std::string workspace;
  ResultCode code = ResultCode::kOk;
  std::optional<Duration> first_token;  ///< Or first byte; unset on failure.
  Duration total{0};
  std::uint64_t tokens = 0;             ///< Generated.
  std::uint64_t recomputed_tokens = 0;  ///< Prefilled more than once.
  int attempts = 0;
  bool good = true;  ///< Counts as good for the objective.
};

/// Latency histograms, counters and good and bad responses over time, by
/// service and workspace. Not thread-safe.
class ServiceMetrics {
 public:
  ServiceMetrics();
  ~ServiceMetrics();

  void Record(const RequestSample& sample, TimePoint now);
  void RecordTokenGap(const std::string& service, const std::string& workspace,
                      Duration gap);

  /// All metrics in the Prometheus text format.
  [[nodiscard]] std::string PrometheusText() const;

  /// All metrics as JSON, for `MergeBurn`. `objective` returns the availability
  /// objective of a service.
  [[nodiscard]] QJsonObject ToJson(
      const std::function<double(const std::string& service)>& objective,
      TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_SERVICE_METRICS_H_
