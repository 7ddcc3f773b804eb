#include "details/rollout_hooks.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "base/text.h"

namespace firmoor::details {
namespace {

std::optional<RolloutOrder> Decode(const KindObject& object,
                                   RolloutDecoder decode, EventLog* log) {
  auto decoded = Capture([&] { return decode(object.name, object.content); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    log->Write("rollout-order-bad",
               {{"name", Text(object.name)}, {"reason", Text(error->message)}});
    return std::nullopt;
  }
  return std::get<RolloutOrder>(std::move(decoded));
}

}  // namespace

KindWatcher::Hooks RolloutHooks(Gateway* gateway, RolloutDecoder decode,
                                EventLog* log) {
  KindWatcher::Hooks hooks;
  hooks.on_list = [=](const std::vector<KindObject>& objects, TimePoint) {
    std::vector<RolloutOrder> orders;
    for (const auto& object : objects) {
      if (auto order = Decode(object, decode, log)) {
        orders.push_back(*std::move(order));
      }
    }
    gateway->SetRolloutOrders(orders);
  };
  hooks.on_changes = [=](const std::vector<KindChange>& changes,
                         std::optional<TimePoint>) {
    for (const auto& change : changes) {
      const auto order =
          change.removed ? std::nullopt : Decode(change.object, decode, log);
      if (order) {
        gateway->ApplyRolloutOrder(*order);
      } else {
        gateway->RemoveRolloutOrder(change.object.name);
      }
    }
  };
  hooks.on_outage = [] {};
  hooks.on_recovered = [log] {
    log->Write("dependency-regained", {{"dependency", "rollouts"}});
  };
  return hooks;
}

}  // namespace firmoor::details
