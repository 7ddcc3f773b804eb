#include "http/body_budget.h"

#include <algorithm>
#include <utility>

namespace firmoor {

BodyBudget::Share::~Share() {
  budget_->candidates_.erase(this);
  if (budget_->exempt_ == this) budget_->exempt_ = nullptr;
  budget_->in_use_ -= budget_->SharedPart(bytes_);
}

bool BodyBudget::Share::Grow(std::size_t bytes, TimePoint now) {
  const auto& limits = budget_->limits_;
  if (bytes > limits.body_bytes || bytes_ > limits.body_bytes - bytes) {
    return false;
  }
  const auto more =
      budget_->SharedPart(bytes_ + bytes) - budget_->SharedPart(bytes_);
  // Its own sender waits for this process and is not to give way meanwhile.
  is_waiting_ |= is_upload_ && !budget_->HasRoom(more);
  if (!budget_->MakeRoom(more, now)) {
    if (!budget_->MayExceed(this)) return false;
    budget_->exempt_ = this;
  }
  Add(bytes, more, now);
  return true;
}

void BodyBudget::Share::Take(std::size_t bytes, TimePoint now) {
  const auto more =
      budget_->SharedPart(bytes_ + bytes) - budget_->SharedPart(bytes_);
  budget_->MakeRoom(more, now);
  Add(bytes, more, now);
}

void BodyBudget::Share::Add(std::size_t bytes, std::size_t more,
                            TimePoint now) {
  budget_->in_use_ += more;
  bytes_ += bytes;
  if (!is_upload_) return;
  recent_bytes_ += bytes;
  const bool has_waited = std::exchange(is_waiting_, false);
  if (has_waited || recent_bytes_ >= kMinUploadBytes) {
    taken_at_ = now;
    recent_bytes_ = 0;
  }
  if (IsLarge()) budget_->candidates_.insert(this);
}

void BodyBudget::Share::StartUpload(std::function<bool()> give_way,
                                    TimePoint now) {
  is_upload_ = true;
  taken_at_ = now;
  give_way_ = std::move(give_way);
}

void BodyBudget::Share::EndUpload() {
  is_upload_ = false;
  is_waiting_ = false;
  give_way_ = nullptr;
  budget_->candidates_.erase(this);
}

void BodyBudget::Share::ShrinkTo(std::size_t bytes) {
  if (bytes >= bytes_) return;
  budget_->in_use_ -= budget_->SharedPart(bytes_) - budget_->SharedPart(bytes);
  bytes_ = bytes;
  if (!IsLarge()) budget_->candidates_.erase(this);
}

void BodyBudget::Share::StartDelivery(std::function<bool()> give_way,
                                      TimePoint now) {
  taken_at_ = now;
  give_way_ = std::move(give_way);
  if (budget_->exempt_ == this) budget_->exempt_ = nullptr;
  if (IsLarge()) budget_->candidates_.insert(this);
}

bool BodyBudget::Share::IsLarge() const {
  return budget_->SharedPart(bytes_) > 0;
}

std::size_t BodyBudget::SharedPart(std::size_t bytes) const {
  return bytes > limits_.free_bytes ? bytes - limits_.free_bytes : 0;
}

bool BodyBudget::HasRoom(std::size_t bytes) const {
  return bytes == 0 || (in_use_ <= limits_.shared_bytes &&
                        bytes <= limits_.shared_bytes - in_use_);
}

BodyBudget::Share* BodyBudget::Slowest() const {
  Share* slowest = nullptr;
  for (auto* const share : candidates_) {
    if (share->is_waiting_) continue;
    const bool is_slower = slowest == nullptr ||
                           share->taken_at_ < slowest->taken_at_ ||
                           (share->taken_at_ == slowest->taken_at_ &&
                            share->bytes_ > slowest->bytes_);
    if (is_slower) slowest = share;
  }
  return slowest;
}

bool BodyBudget::MayExceed(const Share* share) const {
  if (exempt_ != nullptr && exempt_ != share) return false;
  return std::all_of(candidates_.begin(), candidates_.end(),
                     [share](const Share* candidate) {
                       return candidate == share || candidate->is_waiting_;
                     });
}

bool BodyBudget::MakeRoom(std::size_t bytes, TimePoint now) {
  while (!HasRoom(bytes)) {
    // Many bodies may ask again and again.
    if (now < none_stalled_before_) return false;
    auto* const slowest = Slowest();
    if (slowest == nullptr) return false;
    if (now - slowest->taken_at_ < kMinStall) {
      none_stalled_before_ = slowest->taken_at_ + kMinStall;
      return false;
    }
    // Copied, since it may destroy the share.
    const auto give_way = slowest->give_way_;
    if (give_way()) {
      ++gave_way_;
      candidates_.erase(slowest);
    } else if (candidates_.contains(slowest)) {
      slowest->taken_at_ = now;
    }
  }
  return true;
}

}  // namespace firmoor
