#include "base/handler_timer.h"

#include <utility>

namespace firmoor {
namespace {

HandlerTime longest;

}  // namespace

HandlerTimer::~HandlerTimer() {
  const auto time = MonotonicNow() - started_at_;
  if (time > longest.time) longest = {name_, time};
}

HandlerTime HandlerTimer::TakeLongest() {
  return std::exchange(longest, HandlerTime{});
}

}  // namespace firmoor
