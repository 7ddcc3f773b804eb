#ifndef FIRMOOR_SERVING_LINK_BUDGET_H_
#define FIRMOOR_SERVING_LINK_BUDGET_H_

#include <cstdint>

#include "base/time.h"

namespace firmoor {

/// Token bucket over the bytes that one daemon may send and receive over the
/// paid link between regions. Pure.
class LinkBudget {
 public:
  /// Saves up to two seconds' worth.
  explicit LinkBudget(std::int64_t bytes_per_s);

  /// Whether there is anything left to spend.
  bool HasBalance(TimePoint now);

  /// Spends bytes; the balance may go below zero and is then paid back
  /// before the link opens again.
  void Spend(std::int64_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  double bytes_per_s_;
  double balance_;
  TimePoint refilled_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_LINK_BUDGET_H_
