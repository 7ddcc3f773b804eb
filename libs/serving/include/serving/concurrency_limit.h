#ifndef FIRMOOR_SERVING_CONCURRENCY_LIMIT_H_
#define FIRMOOR_SERVING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// Limit of the requests that one daemon has in flight at one upstream:
/// additive increase while the first byte arrives in time, multiplicative
/// decrease when it does not (AIMD). Performs no I/O.
class ConcurrencyLimit {
 public:
  /// The limit starts at `ceiling` and stays between 1 and `ceiling`.
  explicit ConcurrencyLimit(std::int64_t ceiling);

  /// Adds a sample of the time to first byte. `was_full` tells that the
  /// requests in flight had reached the limit; only then it may rise.
  void OnSample(Duration first_byte, Duration target, bool was_full,
                TimePoint now);

  [[nodiscard]] std::int64_t value() const {
    return static_cast<std::int64_t>(value_);
  }
  void SetCeiling(std::int64_t ceiling);

 private:
  double ceiling_;
  double value_;
  TimePoint last_decrease_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CONCURRENCY_LIMIT_H_
