#include "rollout/rollout_messages.h"

namespace firmoor {

std::string_view NameOf(RolloutStage stage) {
  constexpr std::array<std::string_view, 6> kNames = {
      "waiting", "canary", "half", "all", "complete", "reverted"};
  return kNames.at(static_cast<std::size_t>(stage));
}

}  // namespace firmoor
