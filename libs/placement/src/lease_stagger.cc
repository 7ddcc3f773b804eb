#include "placement/lease_stagger.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace firmoor {
namespace {

// Mean interval between the daemons' attempts: about the time until the write
// of the first one is visible to the others. The sum is limited so that the
// last daemon does not wait long, and small fleets need no stagger.
constexpr Duration kStaggerPerDaemon{4};
constexpr Duration kMaxSpread{1'000};
constexpr std::size_t kMaxUnstaggeredDaemons = 16;
// Delay of a VM with half a core; one with an eighth waits seven times as long.
// The coordinator receives a report from every daemon each second, which an
// eighth of a core cannot handle for hundreds of daemons.
constexpr double kSlowVmDelayMs = 100;
constexpr double kMaxSlowVmDelayMs = 900;

}  // namespace

Duration LeaseStagger(std::size_t daemons, double cores,
                      std::string_view instance_id) {
  if (daemons <= kMaxUnstaggeredDaemons) return Duration(0);
  const auto spread =
      std::min(kMaxSpread, kStaggerPerDaemon * static_cast<int>(daemons));
  const double slow_vm_delay =
      std::clamp(kSlowVmDelayMs * (1 / cores - 1), 0.0, kMaxSlowVmDelayMs);
  const double jitter =
      static_cast<double>(spread.count()) * HashFraction(instance_id);
  return Duration(1 + static_cast<std::int64_t>(slow_vm_delay + jitter));
}

Duration DrainingTakeoverDelay(std::size_t daemons, Duration lifetime) {
  return daemons > 1 ? lifetime : Duration(0);
}

}  // namespace firmoor
