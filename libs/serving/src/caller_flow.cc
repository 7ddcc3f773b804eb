#include "serving/caller_flow.h"

#include <fmt/format.h>

#include <utility>

namespace firmoor {

std::string CallerFlowTotals::Metrics() const {
  return fmt::format(
      "firmoor_caller_held_bytes {}\n"
      "firmoor_caller_paused_streams {}\n"
      "firmoor_caller_pauses_total {}\n"
      "firmoor_callers_stalled_total {}\n",
      held_bytes, paused, pauses, stalled);
}

std::size_t CallerFlow::PauseLimit() const {
  return totals_->held_bytes > kMaxHeldBytes ? kResumeBytes : kPauseBytes;
}

CallerFlow::Step CallerFlow::Update(std::size_t unsent, TimePoint now) {
  const auto before = std::exchange(unsent_, unsent);
  totals_->held_bytes = totals_->held_bytes - before + unsent;
  if (unsent < before) taken_at_ = now;
  if (!is_paused_ && unsent > PauseLimit()) {
    is_paused_ = true;
    taken_at_ = now;
    ++totals_->paused;
    ++totals_->pauses;
    return Step::kPause;
  }
  if (is_paused_ && unsent < kResumeBytes) {
    is_paused_ = false;
    --totals_->paused;
    return Step::kResume;
  }
  return Step::kNone;
}

void CallerFlow::End() {
  totals_->held_bytes -= std::exchange(unsent_, 0);
  if (std::exchange(is_paused_, false)) --totals_->paused;
}

Duration CallerFlow::StalledFor(TimePoint now) const {
  return is_paused_ ? now - taken_at_ : Duration(0);
}

}  // namespace firmoor
