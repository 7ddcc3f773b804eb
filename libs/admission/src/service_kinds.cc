#include "admission/service_kinds.h"

#include <algorithm>

namespace firmoor {
namespace {

// Fraction of the latency objective that may be spent on waiting for a slot;
// the rest is for the prefill of earlier prompts and of its own.
constexpr int kWaitDivisor = 4;

}  // namespace

ServiceKinds::Builder& ServiceKinds::Builder::Add(int priority,
                                                  Duration objective) {
  auto& longest = objectives_[priority];
  longest = std::max(longest, objective);
  return *this;
}

ServiceKinds ServiceKinds::Builder::Build() const {
  return ServiceKinds(objectives_);
}

int ServiceKinds::MostUrgent() const {
  return objectives_.empty() ? 0 : objectives_.begin()->first;
}

Duration ServiceKinds::ToleratedWait(int priority) const {
  Duration longest{0};
  for (auto it = objectives_.lower_bound(priority); it != objectives_.end();
       ++it) {
    longest = std::max(longest, it->second);
  }
  return longest / kWaitDivisor;
}

}  // namespace firmoor
