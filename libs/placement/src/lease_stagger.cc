#include "placement/lease_stagger.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace firmoor {
namespace {

// Daemons take a lease that ended one after the other, on average this far
// apart: about what a write of the first one needs to be seen. Few daemons need
// not, and the last one must not wait long.
constexpr Duration kStaggerEach{4};
constexpr Duration kLongestStagger{1'000};
constexpr std::size_t kFewDaemons = 16;
// Wait of a VM with half a core in milliseconds; one with an eighth waits seven
// times as long. The coordinator hears all daemons each second, which an eighth
// of a core does not bear for hundreds.
constexpr double kWeaknessMs = 100;
constexpr double kLongestWeaknessMs = 900;

}  // namespace

Duration LeaseStagger(std::size_t daemons, double cores,
                      std::string_view instance_id) {
  if (daemons <= kFewDaemons) return Duration(0);
  const auto all =
      std::min(kLongestStagger, kStaggerEach * static_cast<int>(daemons));
  const double weakness =
      std::clamp(kWeaknessMs * (1 / cores - 1), 0.0, kLongestWeaknessMs);
  const double chance =
      static_cast<double>(all.count()) * HashFraction(instance_id);
  return Duration(1 + static_cast<std::int64_t>(weakness + chance));
}

}  // namespace firmoor
