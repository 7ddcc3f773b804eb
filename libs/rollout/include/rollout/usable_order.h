#ifndef FIRMOOR_ROLLOUT_USABLE_ORDER_H_
#define FIRMOOR_ROLLOUT_USABLE_ORDER_H_

#include <optional>

#include "rollout/rollout_messages.h"

namespace firmoor {

/// Of an order that tells no usable time, where no earlier one is known.
constexpr Duration kDefaultRolloutTime{30'000};

/// The order to follow, so that a bad one does not spread requests over both
/// versions. `read` is empty if it could not be read, and has no time if that
/// could not be used; `known` is the last order for the service.
std::optional<RolloutOrder> UsableOrder(
    const std::optional<RolloutOrder>& read,
    const std::optional<RolloutOrder>& known);

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_USABLE_ORDER_H_
