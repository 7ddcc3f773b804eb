#include "serving/retry_budget.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), available_(burst) {
  FIRMOOR_PRECONDITION(ratio >= 0 && burst >= 1, "a budget can be used");
}

void RetryBudget::OnRequest() {
  available_ = std::min(burst_, available_ + ratio_);
}

bool RetryBudget::TryTake() {
  if (available_ < 1.0) return false;
  available_ -= 1.0;
  return true;
}

void RetryBudget::SetBurst(double burst) {
  FIRMOOR_PRECONDITION(burst >= 1, "a budget can be used");
  burst_ = burst;
  available_ = std::min(available_, burst);
}

}  // namespace firmoor
