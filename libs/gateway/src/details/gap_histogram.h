#ifndef FIRMOOR_GATEWAY_DETAILS_GAP_HISTOGRAM_H_
#define FIRMOOR_GATEWAY_DETAILS_GAP_HISTOGRAM_H_

#include <memory>
#include <string>

#include "base/time.h"

namespace firmoor::details {

/// Histogram of the times for which this daemon's reports reached no
/// coordinator, for metrics.
class GapHistogram {
 public:
  GapHistogram();
  ~GapHistogram();

  void Record(Duration gap);
  /// In the Prometheus text format, in seconds.
  [[nodiscard]] std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_GAP_HISTOGRAM_H_
