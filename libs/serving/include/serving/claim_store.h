#ifndef FIRMOOR_SERVING_CLAIM_STORE_H_
#define FIRMOOR_SERVING_CLAIM_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "platform/object_store.h"
#include "serving/claim_batcher.h"

namespace firmoor {

/// Claims of idempotency keys in the platform's store: the adapter around
/// one `ClaimBatcher` a slot. Not thread-safe; lives in the event loop.
class ClaimStore {
 public:
  using Done = std::function<void(const ClaimBatcher::Decided&)>;

  /// `slots` objects hold all claims; `wait` bounds each claim.
  ClaimStore(ObjectStore* store, std::int64_t slots, Duration wait);
  ~ClaimStore();

  /// Claims a key; `done` runs once, after at most the wait.
  void Claim(const firmoor::Claim& wanted, Done done);

  /// Records how a granted claim ended.
  void Record(const firmoor::Claim& ended);

  /// Outcomes that are not stored yet.
  [[nodiscard]] std::size_t Unrecorded() const;

  /// Name of the object that holds `key`.
  [[nodiscard]] std::string SlotOf(const std::string& key) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_STORE_H_
