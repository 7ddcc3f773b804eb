#ifndef FIRMOOR_GATEWAY_DETAILS_UPSTREAM_CAPACITY_RECORD_H_
#define FIRMOOR_GATEWAY_DETAILS_UPSTREAM_CAPACITY_RECORD_H_

#include <array>
#include <cstdint>
#include <string>

#include "base/event_log.h"
#include "routing/upstream_picker.h"

namespace firmoor::details {

/// Histogram of observed by expected times, since the start.
class DurationRatios {
 public:
  void Record(double ratio);
  /// Prometheus text.
  [[nodiscard]] std::string Metrics() const;

 private:
  static constexpr std::array<double, 7> kBounds = {0.25, 0.5, 0.8, 1.25,
                                                    2,    4,   8};

  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  double sum_ = 0;
};

/// Logs what `picker` now believes otherwise of upstreams, and records the
/// times that it compared.
void RecordCapacity(UpstreamPicker* picker, EventLog* log,
                    DurationRatios* ratios);

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_UPSTREAM_CAPACITY_RECORD_H_
