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

/// Claims of idempotency keys in the platform's store: the adapter around
/// one `ClaimBatcher` a slot. Each slot has a home among the daemons, to which
/// the others pass their claims, so that updates of a slot rarely conflict.
/// Safety does not rest on the home: when it does not answer, the claim is
/// made from here under the same attempt id. Not thread-safe; lives in the
/// event loop.
class ClaimStore {
 public:
  using Done = std::function<void(const ClaimBatcher::Decision&)>;
  using RecordDone = std::function<void()>;

  /// Ways to the home of a slot. Each answers `done` once, with nothing when
  /// the home did not answer; false when this daemon is the home.
  struct HomeCalls {
    std::function<bool(
        const std::string& slot, const firmoor::Claim& wanted,
        std::function<void(const std::optional<ClaimBatcher::Decision>&)> done)>
        claim;
    std::function<bool(const std::string& slot, const firmoor::Claim& ended,
                       std::function<void(bool stored)> done)>
        record;
  };

  /// `slots` objects hold all claims; `wait` bounds each claim.
  ClaimStore(ObjectStore* store, std::int64_t slots, Duration claim_timeout);
  ~ClaimStore();

  void SetHomeCalls(HomeCalls calls);

  /// Claims a key, at its home if that answers; `done` runs once.
  void Claim(const firmoor::Claim& wanted, const Done& done);

  /// Asks how a key stands, see `ClaimBatcher::QueryKey`; `done` runs once,
  /// within 300 ms.
  void QueryKey(const firmoor::Claim& wanted, Done done);

  /// Records how a granted claim ended.
  void Record(const firmoor::Claim& ended);

  /// The same at this daemon, for those whose home it is.
  void ClaimLocally(const firmoor::Claim& wanted, ClaimOrigin origin,
                    Done done);
  void RecordLocally(const firmoor::Claim& ended, RecordDone done);

  /// Whether the outcome of this attempt is on its way to the store.
  [[nodiscard]] bool IsRecording(const std::string& attempt) const;

  /// Outcomes that are not stored yet.
  [[nodiscard]] std::size_t UnrecordedOutcomes() const;

  /// Name of the object that holds `key`.
  [[nodiscard]] std::string SlotOf(const std::string& key) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_STORE_H_
