#include "details/rollout_hooks.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/text.h"
#include "rollout/usable_order.h"

namespace firmoor::details {
namespace {

void LogBad(const KindObject& object, const std::string& reason,
            EventLog* log) {
  log->Write("rollout-order-bad",
             {{"name", Text(object.name)}, {"reason", Text(reason)}});
}

std::optional<RolloutOrder> Decode(const KindObject& object,
                                   RolloutDecoder decode, EventLog* log) {
  auto decoded = Capture([&] { return decode(object.name, object.content); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogBad(object, error->message, log);
    return std::nullopt;
  }
  auto order = std::get<RolloutOrder>(std::move(decoded));
  if (order.over <= Duration(0)) LogBad(object, "no usable time", log);
  return order;
}

/// The order to follow instead of what is stored, if that is bad.
std::optional<RolloutOrder> Read(const KindObject& object,
                                 const Gateway& gateway, RolloutDecoder decode,
                                 EventLog* log) {
  std::optional<RolloutOrder> known;
  for (auto& order : gateway.RolloutOrders()) {
    if (order.service == object.name) known = std::move(order);
  }
  return UsableOrder(Decode(object, decode, log), known);
}

}  // namespace

KindWatcher::Hooks RolloutHooks(Gateway* gateway, RolloutDecoder decode,
                                EventLog* log) {
  KindWatcher::Hooks hooks;
  hooks.on_list = [=](const std::vector<KindObject>& objects, TimePoint) {
    std::vector<RolloutOrder> orders;
    for (const auto& object : objects) {
      if (auto order = Read(object, *gateway, decode, log)) {
        orders.push_back(*std::move(order));
      }
    }
    gateway->SetRolloutOrders(orders);
  };
  hooks.on_changes = [=](const std::vector<KindChange>& changes,
                         std::optional<TimePoint>) {
    for (const auto& change : changes) {
      if (change.removed) {
        gateway->RemoveRolloutOrder(change.object.name);
        continue;
      }
      const auto order = Read(change.object, *gateway, decode, log);
      if (order) gateway->ApplyRolloutOrder(*order);
    }
  };
  hooks.on_outage = [] {};
  hooks.on_recovered = [log] {
    log->Write("dependency-regained", {{"dependency", "rollouts"}});
  };
  return hooks;
}

}  // namespace firmoor::details
