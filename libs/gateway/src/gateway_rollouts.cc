#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/text.h"
#include "details/gateway_impl.h"
#include "gateway/gateway.h"

namespace firmoor {

void Gateway::SetRolloutOrders(const std::vector<RolloutOrder>& orders) {
  auto& rollouts = impl_->context.rollouts;
  for (const auto& known : rollouts.orders()) {
    const bool stays = std::any_of(
        orders.begin(), orders.end(),
        [&](const auto& order) { return order.service == known.service; });
    if (!stays) RemoveRolloutOrder(known.service);
  }
  for (const auto& order : orders) ApplyRolloutOrder(order);
}

void Gateway::ApplyRolloutOrder(const RolloutOrder& order) {
  auto& context = impl_->context;
  const auto before = context.rollouts.orders();
  if (std::find(before.begin(), before.end(), order) != before.end()) return;
  context.rollouts.ApplyOrder(order, context.catalog.all(), MonotonicNow());
  context.environment.log->Write(
      "rollout-order", {{"service", Text(order.service)},
                        {"target", Text(order.target)},
                        {"over_ms", static_cast<qint64>(order.over.count())}});
}

void Gateway::RemoveRolloutOrder(const std::string& service) {
  impl_->context.rollouts.RemoveOrder(service);
  impl_->context.environment.log->Write("rollout-order-removed",
                                        {{"service", Text(service)}});
}

std::vector<RolloutOrder> Gateway::RolloutOrders() const {
  return impl_->context.rollouts.orders();
}

std::map<std::string, UpstreamEntry> Gateway::Capacity() const {
  const auto& context = impl_->context;
  auto upstreams = context.catalog.all();
  if (!context.rollouts.IsActive()) return upstreams;
  std::erase_if(upstreams, [&](const auto& entry) {
    return !context.rollouts.IsCapacity(entry.second);
  });
  return upstreams;
}

RolloutReports Gateway::ReportRollouts() const {
  const auto& context = impl_->context;
  return context.rollouts.Report(
      [&](const std::string& id) { return context.picker.InFlight(id); },
      MonotonicNow());
}

bool Gateway::ApplyRollouts(const RolloutReplies& replies) {
  return !impl_->context.rollouts.Apply(replies, MonotonicNow()).empty();
}

std::string Gateway::RolloutMetrics() const {
  return impl_->context.rollouts.MetricsText();
}

}  // namespace firmoor
