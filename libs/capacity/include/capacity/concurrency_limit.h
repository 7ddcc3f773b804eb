#ifndef FIRMOOR_CAPACITY_CONCURRENCY_LIMIT_H_
#define FIRMOOR_CAPACITY_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// Limit of the requests that one daemon has in flight at one upstream:
/// additive increase while responses arrive in time, multiplicative decrease
/// when they do not (AIMD). Performs no I/O.
class ConcurrencyLimit {
 public:
  /// The limit starts at `ceiling` and stays between 1 and `ceiling`.
  explicit ConcurrencyLimit(std::int64_t ceiling);

  /// Adds a sample of the time that the upstream took, which is late if above
  /// `bound`. `was_full` tells that the requests in flight had reached the
  /// limit; only then it may rise.
  void OnSample(Duration time, Duration bound, bool was_full, TimePoint now);

  [[nodiscard]] std::int64_t value() const {
    return static_cast<std::int64_t>(value_);
  }
  /// Whether it is below the ceiling.
  [[nodiscard]] bool IsReduced() const { return value_ < ceiling_; }
  /// A change of the ceiling resets the limit to it.
  void SetCeiling(std::int64_t ceiling);

 private:
  double ceiling_;
  double value_;
  TimePoint last_decrease_;
};

}  // namespace firmoor

#endif  // FIRMOOR_CAPACITY_CONCURRENCY_LIMIT_H_
