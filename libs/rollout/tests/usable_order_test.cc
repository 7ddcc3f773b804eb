#include "rollout/usable_order.h"

#include <doctest/doctest.h>

namespace firmoor {
namespace {

TEST_CASE("A bad order leaves the limits of a roll-out in place") {
  // Guards against requests that are spread over both versions, since an order
  // was written without a time or cannot be read.
  const RolloutOrder known{"s", "v2", Duration(12'000)};
  const RolloutOrder next{"s", "v3", Duration(9'000)};
  const RolloutOrder timeless{"s", "v3", Duration(0)};
  CHECK(UsableOrder(next, known) == next);
  CHECK(UsableOrder(timeless, known) == known);
  CHECK(UsableOrder(std::nullopt, known) == known);
  CHECK(UsableOrder(timeless, std::nullopt) ==
        RolloutOrder{"s", "v3", kDefaultRolloutTime});
  CHECK(UsableOrder(std::nullopt, std::nullopt) == std::nullopt);
}

}  // namespace
}  // namespace firmoor
