#ifndef FIRMOOR_GATEWAY_ROLLOUT_STATUS_STORE_H_
#define FIRMOOR_GATEWAY_ROLLOUT_STATUS_STORE_H_

#include <functional>
#include <string>

#include "platform/object_store.h"
#include "rollout/rollout_coordinator.h"

namespace firmoor {

/// Access to the status of operators' roll-out orders in the platform's store.
/// Callbacks run in the event loop, once for each call.
class RolloutStatusStore {
 public:
  using RolloutRead =
      std::function<void(StoreStatus, StoreVersion, StoredRollout)>;
  using StatusWritten = std::function<void(StoreStatus, StoreVersion)>;

  virtual ~RolloutStatusStore() = default;

  virtual void ReadRollout(const std::string& service, RolloutRead done) = 0;
  /// Writes the status only if the order is at version `expected`.
  virtual void WriteRolloutStatus(const std::string& service,
                                  StoreVersion expected,
                                  const std::string& state,
                                  const std::string& target,
                                  StatusWritten done) = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_ROLLOUT_STATUS_STORE_H_
