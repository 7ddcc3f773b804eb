#include "serving/link_budget.h"

#include <algorithm>

namespace firmoor {
namespace {

constexpr double kMaxBalanceSeconds = 2.0;
constexpr double kMsPerSecond = 1'000.0;

}  // namespace

LinkBudget::LinkBudget(std::int64_t bytes_per_s)
    : bytes_per_s_(static_cast<double>(bytes_per_s)),
      balance_(static_cast<double>(bytes_per_s) * kMaxBalanceSeconds) {}

void LinkBudget::Refill(TimePoint now) {
  const double elapsed_s =
      static_cast<double>((now - refilled_at_).count()) / kMsPerSecond;
  refilled_at_ = now;
  balance_ = std::min(bytes_per_s_ * kMaxBalanceSeconds,
                      balance_ + elapsed_s * bytes_per_s_);
}

bool LinkBudget::HasBalance(TimePoint now) {
  Refill(now);
  return balance_ > 0;
}

void LinkBudget::Spend(std::int64_t bytes, TimePoint now) {
  Refill(now);
  balance_ -= static_cast<double>(bytes);
}

}  // namespace firmoor
