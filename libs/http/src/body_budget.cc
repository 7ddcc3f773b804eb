#include "http/body_budget.h"

namespace firmoor {

BodyBudget::Share::~Share() { budget_->in_use_ -= budget_->SharedPart(bytes_); }

bool BodyBudget::Share::Grow(std::size_t bytes) {
  const auto& limits = budget_->limits_;
  if (bytes > limits.body_bytes || bytes_ > limits.body_bytes - bytes) {
    return false;
  }
  const auto more =
      budget_->SharedPart(bytes_ + bytes) - budget_->SharedPart(bytes_);
  if (more > limits.shared_bytes - budget_->in_use_) return false;
  budget_->in_use_ += more;
  bytes_ += bytes;
  return true;
}

std::size_t BodyBudget::SharedPart(std::size_t bytes) const {
  return bytes > limits_.free_bytes ? bytes - limits_.free_bytes : 0;
}

}  // namespace firmoor
