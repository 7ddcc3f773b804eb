#ifndef FIRMOOR_METRICS_DURATION_HISTOGRAM_H_
#define FIRMOOR_METRICS_DURATION_HISTOGRAM_H_

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Histogram of durations for metrics. Not thread-safe.
class DurationHistogram {
 public:
  /// `name`: of the metric, which is in seconds. `bounds_s`: between its
  /// buckets, in seconds, rising.
  DurationHistogram(std::string name, const std::vector<double>& bounds_s);
  ~DurationHistogram();

  void Record(Duration duration);
  /// In the Prometheus text format.
  [[nodiscard]] std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_DURATION_HISTOGRAM_H_
