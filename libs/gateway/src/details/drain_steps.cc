#include "details/drain_steps.h"

namespace firmoor::details {
namespace {

// The load balancer removes a daemon after two failed probes, one second apart.
constexpr Duration kBalancerDetectionTime{2'500};

}  // namespace

DrainStep NextDrainStep(const DrainProgress& progress) {
  if (progress.elapsed >= progress.time - kStopMargin) return DrainStep::kStop;
  const bool is_idle = progress.elapsed >= kBalancerDetectionTime &&
                       progress.requests == 0 && progress.connections == 0;
  if (!is_idle) return DrainStep::kServe;
  if (!progress.is_listener_closed) return DrainStep::kCloseListener;
  const bool is_needed =
      progress.has_unsent_response || progress.has_to_hand_over;
  return is_needed ? DrainStep::kServe : DrainStep::kStop;
}

}  // namespace firmoor::details
