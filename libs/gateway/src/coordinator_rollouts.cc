#include <string>
#include <utility>

#include "base/text.h"
#include "details/coordinator_service_impl.h"

namespace firmoor {

void CoordinatorService::Impl::AdvanceRollouts() {
  const auto now = MonotonicNow();
  for (const auto& change : rollouts->Advance(now)) {
    env.log->Write("rollout-stage",
                   {{"service", Text(change.service)},
                    {"target", Text(change.target)},
                    {"from", Text(NameOf(change.from))},
                    {"to", Text(NameOf(change.to))},
                    {"reason", Text(change.reason)},
                    {"route", Text(change.route)},
                    {"requests", static_cast<qint64>(change.requests)},
                    {"sent", static_cast<qint64>(change.sent)},
                    {"ended", static_cast<qint64>(change.ended)},
                    {"bad", static_cast<qint64>(change.bad)},
                    {"fencing", static_cast<qint64>(lease.fencing())}});
  }
}

void CoordinatorService::Impl::RunRollouts() {
  if (env.rollouts == nullptr || !rollouts) return;
  const auto now = MonotonicNow();
  rollouts->SetOrders(env.gateway->RolloutOrders(), now);
  AdvanceRollouts();
  if (!MayCallCloud()) return;
  for (const auto& call : rollouts->NextCalls(now)) {
    if (call.state.empty()) {
      ReadRollout(call);
    } else {
      WriteRollout(call);
    }
  }
}

std::function<bool()> CoordinatorService::Impl::IsSameTerm() const {
  return [this, weak = std::weak_ptr(alive), since = holder_since] {
    return !weak.expired() && rollouts && holder_since == since;
  };
}

void CoordinatorService::Impl::ReadRollout(
    const RolloutCoordinator::StoreCall& call) {
  env.rollouts->ReadRollout(
      call.service, [this, is_same_term = IsSameTerm(), call](
                        StoreStatus status, StoreVersion version,
                        const StoredRollout& stored) {
        if (!is_same_term()) return;
        rollout_versions[call.service] = version;
        rollouts->OnRead(
            call.service,
            status == StoreStatus::kOk ? std::optional(stored) : std::nullopt,
            MonotonicNow());
      });
}

void CoordinatorService::Impl::WriteRollout(
    const RolloutCoordinator::StoreCall& call) {
  env.rollouts->WriteRolloutStatus(
      call.service, rollout_versions[call.service], call.state, call.target,
      [this, is_same_term = IsSameTerm(), call](StoreStatus status,
                                                StoreVersion version) {
        if (!is_same_term()) return;
        const bool written = status == StoreStatus::kOk;
        if (written) rollout_versions[call.service] = version;
        rollouts->OnWritten(call, written, MonotonicNow());
        env.log->Write("rollout-status-written",
                       {{"service", Text(call.service)},
                        {"target", Text(call.target)},
                        {"state", Text(call.state)},
                        {"status", static_cast<int>(status)},
                        {"revision", static_cast<qint64>(version.revision)},
                        {"fencing", static_cast<qint64>(lease.fencing())}});
        if (written) AdvanceRollouts();
      });
}

}  // namespace firmoor
