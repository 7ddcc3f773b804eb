#ifndef FIRMOOR_SERVING_CONCURRENCY_LIMIT_H_
#define FIRMOOR_SERVING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// Requests that one daemon keeps in one upstream: additive increase while
/// the first token comes in time, multiplicative decrease when it does not.
/// Pure.
class ConcurrencyLimit {
 public:
  /// The limit starts at `ceiling` and stays from 1 to `ceiling`.
  explicit ConcurrencyLimit(std::int64_t ceiling);

  /// Notes the time to the first byte of one answer. `was_full` tells that
  /// the limit was reached when the request was sent.
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
