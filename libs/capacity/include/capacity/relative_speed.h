#ifndef FIRMOOR_CAPACITY_RELATIVE_SPEED_H_
#define FIRMOOR_CAPACITY_RELATIVE_SPEED_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// How slow one upstream is, as the logarithm of observed by expected time.
///
/// A robust mean over some ten seconds tells upstreams that are slow for good;
/// a peak that rises with slow answers in a row and falls within a second tells
/// those that are slow for the moment. Both fall towards 0 while no requests
/// show anything, so that the upstream is tried again. Performs no I/O.
class RelativeSpeed {
 public:
  /// `log_ratio`: of the observed by the expected time.
  void OnSample(double log_ratio, TimePoint now);
  /// Records an answer under load, which tells of the moment only. `log_ratio`:
  /// as far as the load does not explain it.
  void OnLoadedSample(double log_ratio, TimePoint now);

  /// Mean log ratio; starts at 0.
  [[nodiscard]] double Mean(TimePoint now) const;
  /// Log ratio of the latest answers.
  [[nodiscard]] double Peak(TimePoint now) const;
  [[nodiscard]] std::int64_t samples() const { return samples_; }
  [[nodiscard]] TimePoint sampled_at() const { return sampled_at_; }

 private:
  void UpdatePeak(double log_ratio, TimePoint now);

  double mean_ = 0;
  double peak_ = 0;
  std::int64_t samples_ = 0;
  TimePoint sampled_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_CAPACITY_RELATIVE_SPEED_H_
