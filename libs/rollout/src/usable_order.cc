#include "rollout/usable_order.h"

namespace firmoor {

std::optional<RolloutOrder> UsableOrder(
    const std::optional<RolloutOrder>& read,
    const std::optional<RolloutOrder>& known) {
  if (read && read->over > Duration(0)) return read;
  if (known || !read) return known;
  auto order = *read;
  order.over = kDefaultRolloutTime;
  return order;
}

}  // namespace firmoor
