#ifndef FIRMOOR_SERVING_LINK_BUDGET_H_
#define FIRMOOR_SERVING_LINK_BUDGET_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// Token bucket that limits the bytes one daemon sends and receives over the
/// metered link between regions. Performs no I/O.
class LinkBudget {
 public:
  /// The bucket holds up to two seconds' worth of bytes.
  explicit LinkBudget(std::int64_t bytes_per_s);

  /// Whether the balance is positive.
  bool HasBalance(TimePoint now);

  /// Deducts bytes. The balance may become negative and must be refilled
  /// before the link can be used again.
  void Spend(std::int64_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  double bytes_per_s_;
  double balance_;
  TimePoint refilled_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_LINK_BUDGET_H_
