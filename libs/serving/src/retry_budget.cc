#include "serving/retry_budget.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share), reserve_(reserve), available_(reserve) {
  FIRMOOR_PRECONDITION(share >= 0 && reserve >= 1, "a budget can be used");
}

void RetryBudget::OnRequest() {
  available_ = std::min(reserve_, available_ + share_);
}

bool RetryBudget::TryTake() {
  if (available_ < 1.0) return false;
  available_ -= 1.0;
  return true;
}

void RetryBudget::SetBurst(double reserve) {
  FIRMOOR_PRECONDITION(reserve >= 1, "a budget can be used");
  reserve_ = reserve;
  available_ = std::min(available_, reserve);
}

}  // namespace firmoor
