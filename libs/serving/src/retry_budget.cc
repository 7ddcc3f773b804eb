#include "serving/retry_budget.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), available_(burst) {
  FIRMOOR_PRECONDITION(ratio >= 0 && burst >= 1,
                       "the ratio is not negative and the burst is at least 1");
}

double RetryBudget::ShareOf(double total_burst, std::size_t daemons) {
  return std::max(1.0, total_burst / static_cast<double>(
                                         std::max<std::size_t>(1, daemons)));
}

void RetryBudget::OnRequest() {
  available_ = std::min(burst_, available_ + ratio_);
}

bool RetryBudget::TryTake() {
  if (available_ < 1.0) return false;
  available_ -= 1.0;
  return true;
}

void RetryBudget::Return() { available_ = std::min(burst_, available_ + 1.0); }

void RetryBudget::SetBurst(double burst) {
  FIRMOOR_PRECONDITION(burst >= 1, "the burst is at least 1");
  burst_ = burst;
  available_ = std::min(available_, burst);
}

}  // namespace firmoor
