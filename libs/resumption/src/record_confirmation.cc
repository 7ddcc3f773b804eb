#include "resumption/record_confirmation.h"

#include <algorithm>

namespace firmoor {

std::size_t RecordConfirmation::Enough() const {
  if (need_ == Need::kNone) return 0;
  // Two holders that lack a record together pass for proof that there is none,
  // so that a required one may be missing at one holder only.
  const bool needs_most = need_ == Need::kRequired && sent_ > 1;
  return needs_most ? sent_ - 1 : std::min<std::size_t>(sent_, 1);
}

bool RecordConfirmation::IsOverdue(TimePoint now) const {
  return taken_ + failed_ >= sent_ || AgeAt(now) >= kPatience;
}

RecordConfirmation::State RecordConfirmation::StateAt(TimePoint now) const {
  if (taken_ >= Enough()) return State::kMade;
  const bool may_be_alone = taken_ > 0 || need_ != Need::kRequired;
  if (IsOverdue(now) && may_be_alone) return State::kMade;
  return AgeAt(now) >= kLimit ? State::kLost : State::kPending;
}

bool RecordConfirmation::NeedsSpares(TimePoint now) const {
  return StateAt(now) == State::kPending && IsOverdue(now);
}

}  // namespace firmoor
