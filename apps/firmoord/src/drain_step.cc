#include "drain_step.h"

namespace firmoor {
namespace {

// Time for a request that was on its way when the listener closed, also if one
// packet of it is lost and sent again. An idle daemon stops this much later.
constexpr Duration kIdleConnectionTime{1'000};

}  // namespace

DrainStep NextDrainStep(const DrainProgress& progress) {
  if (progress.time_left <= Duration(0)) return DrainStep::kFinish;
  if (progress.has_work) return DrainStep::kServe;
  if (progress.connections == 0) return DrainStep::kFinish;
  return progress.since_listener_closed >= kIdleConnectionTime
             ? DrainStep::kCloseIdle
             : DrainStep::kServe;
}

}  // namespace firmoor
