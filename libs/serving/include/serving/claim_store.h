#ifndef FIRMOOR_SERVING_CLAIM_STORE_H_
#define FIRMOOR_SERVING_CLAIM_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/object_store.h"
#include "serving/claim_batcher.h"

namespace firmoor {

/// Stores claims on idempotency keys in the platform's object store, with one
/// `ClaimBatcher` per slot. Each slot has a home daemon, to which the other
/// daemons forward their claims, so that updates of a slot rarely conflict.
/// Correctness does not depend on the home daemon: when it does not answer,
/// this daemon makes the claim itself under the same attempt id. Not
/// thread-safe; must be used in the thread of its event loop.
class ClaimStore {
 public:
  using Done = std::function<void(const ClaimBatcher::Decision&)>;
  using RecordDone = std::function<void()>;

  /// Calls to the home daemon of a slot. They return false when this daemon is
  /// the home. Otherwise they call `done` once; `nullopt` or false then means
  /// that the home daemon did not answer.
  struct HomeCalls {
    std::function<bool(
        const std::string& slot, const firmoor::Claim& wanted,
        std::function<void(const std::optional<ClaimBatcher::Decision>&)> done)>
        claim;
    std::function<bool(const std::string& slot, const firmoor::Claim& ended,
                       std::function<void(bool stored)> done)>
        record;
  };

  /// All claims are spread over `slots` objects. `claim_timeout` limits each
  /// claim.
  ClaimStore(ObjectStore* store, std::int64_t slots, Duration claim_timeout);
  ~ClaimStore();

  void SetHomeCalls(HomeCalls calls);

  /// Claims a key through the home daemon, or locally when that does not
  /// answer. Calls `done` once.
  void Claim(const firmoor::Claim& wanted, const Done& done);

  /// Queries the state of a key, see `ClaimBatcher::QueryKey`. Calls `done`
  /// once, within 300 ms.
  void QueryKey(const firmoor::Claim& wanted, Done done);

  /// Records the outcome of a granted claim.
  void Record(const firmoor::Claim& ended);

  /// The same without a call to the home daemon. Used when this daemon is the
  /// home or the home does not answer.
  void ClaimLocally(const firmoor::Claim& wanted, ClaimOrigin origin,
                    Done done);
  void RecordLocally(const firmoor::Claim& ended, RecordDone done);

  /// Whether the outcome of this attempt is not stored yet.
  [[nodiscard]] bool IsRecording(const std::string& attempt) const;

  /// Number of outcomes that are not stored yet.
  [[nodiscard]] std::size_t UnrecordedOutcomes() const;

  /// Name of the object that holds `key`.
  [[nodiscard]] std::string SlotOf(const std::string& key) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_STORE_H_
