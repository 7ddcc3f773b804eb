#ifndef FIRMOOR_SERVING_CLAIM_BATCHER_H_
#define FIRMOOR_SERVING_CLAIM_BATCHER_H_

#include <QByteArray>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "platform/object_store.h"
#include "serving/claim_slot.h"

namespace firmoor {

/// Where a claim request comes from; decides who may release the claim. The
/// home daemon of a slot is the one that preferably updates it.
enum class ClaimOrigin {
  kLocal,             ///< Requested by this daemon only.
  kAfterHomeFailure,  ///< By this daemon, after its home did not answer.
  kRemoteDaemon,      ///< By another daemon. Only that daemon may release the
                      ///< claim, since it may have claimed the key itself
                      ///< in the meantime.
};

/// Claims keys and records outcomes in one slot by conditional updates. One
/// update is in flight at a time; requests that arrive meanwhile are batched
/// into the next one (group commit). Writes keep a minimum interval, and
/// outcomes wait briefly for a claim to share a write with, so that the write
/// rate does not grow with the load.
///
/// Correctness depends on the conditional update alone, not on a lease or a
/// clock. When the response to an update is lost, the slot is read back: the
/// claim was stored if the slot contains the id of the attempt.
///
/// When the slot grows large, its ended claims are moved to a segment. A
/// segment is written once, before the slot refers to it, and is read once.
///
/// Performs no I/O: the caller executes the store calls.
class ClaimBatcher {
 public:
  /// A store call to execute; report its result to `OnRead` or `OnWrite`.
  struct StoreCall {
    bool is_write = false;
    std::string segment;    ///< Segment name; empty for the slot.
    StoreVersion expected;  ///< Version that the write replaces.
    QByteArray value;
  };

  /// Decision on one claim or query.
  struct Decision {
    std::uint64_t id = 0;
    ClaimResult result = ClaimResult::kStoreUnavailable;
    Claim claim;  ///< The stored claim, else the requested one.
  };

  /// Moves ended claims to a segment when the slot exceeds `seal_bytes`.
  explicit ClaimBatcher(qsizetype seal_bytes = kSealThresholdBytes)
      : seal_bytes_(seal_bytes) {}

  /// Requests a claim. At `deadline` the result is `kStoreUnavailable`, and a
  /// claim that may have been stored is released, since a lost write can still
  /// take effect.
  void Claim(std::uint64_t id, const firmoor::Claim& wanted, TimePoint deadline,
             ClaimOrigin origin = ClaimOrigin::kLocal);

  /// Queries the state of a key without claiming it: `kGranted` when no earlier
  /// attempt was executed or is in progress, which a successful update of the
  /// slot has confirmed; otherwise the result that a claim would get. At
  /// `deadline` the result is `kStoreUnavailable`.
  void QueryKey(std::uint64_t id, const firmoor::Claim& wanted,
                TimePoint deadline);

  /// Records the outcome of a granted claim. It is retried until stored;
  /// `TakeStoredRecords` then returns `id`.
  void Record(std::uint64_t id, const firmoor::Claim& ended, TimePoint now);

  /// The next store call to execute, if one is due and none is in flight.
  std::optional<StoreCall> NextCall(TimePoint now, std::int64_t wall_ms);

  /// Result of the call in flight.
  void OnRead(StoreStatus status, const StoredObject& object, TimePoint now);
  void OnWrite(StoreStatus status, StoreVersion version, TimePoint now);

  /// New decisions, each returned once. Requests past their deadline get
  /// `kStoreUnavailable`.
  std::vector<Decision> TakeDecisions(TimePoint now);

  /// Ids of outcomes that were stored, each returned once.
  std::vector<std::uint64_t> TakeStoredRecords();

  /// Number of outcomes that are not stored yet.
  [[nodiscard]] std::size_t unrecorded() const {
    return pending_records_.size();
  }
  [[nodiscard]] bool HasWork() const;

 private:
  struct PendingClaim {
    std::uint64_t id;
    firmoor::Claim claim;
    TimePoint deadline;
    bool read_since_request = false;  ///< The slot was read after the request.
    bool may_be_stored = false;       ///< Part of an update that was sent.
    ClaimOrigin origin = ClaimOrigin::kLocal;
    bool is_query = false;  ///< Only queries the key.
  };

  /// The update of the slot that is being built.
  struct PlannedUpdate {
    ClaimSlot next;
    bool changed = false;    ///< A write is needed.
    bool must_read = false;  ///< A claim needs a fresh read.
  };

  /// `seen` is the slot that the result is based on, or null.
  void AddDecision(const PendingClaim& pending, ClaimResult result,
                   const ClaimSlot* seen);
  void BackOff(TimePoint now);
  StoreCall Send(StoreCall call);
  StoreCall SendWrite(ClaimSlot next, TimePoint now);
  void AddRecords(PlannedUpdate* plan);
  void AddPendingClaims(PlannedUpdate* plan);
  /// Return true when the pending request was decided, false when it waits.
  bool TryAnswerQuery(const PendingClaim& pending, PlannedUpdate* plan);
  bool TryDecide(PendingClaim* pending, PlannedUpdate* plan);
  [[nodiscard]] std::optional<std::string> MissingSegment() const;
  [[nodiscard]] bool ShouldSeal() const;
  /// The claim on `key` in the segments of `slot`, or null.
  [[nodiscard]] const firmoor::Claim* FindInSegments(
      const ClaimSlot& slot, const std::string& key) const;
  void OnSegmentRead(StoreStatus status, const StoredObject& object,
                     TimePoint now);
  void OnSegmentWritten(StoreStatus status, TimePoint now);
  [[nodiscard]] bool IsWriteDue(TimePoint now) const;
  void CompleteRecords();

  struct PendingRecord {
    std::uint64_t id;  ///< 0: no caller waits for it.
    firmoor::Claim claim;
    TimePoint since;
  };

  qsizetype seal_bytes_;
  std::map<std::string, ClaimSlot> segments_;  ///< Segments read so far.
  std::string segment_in_flight_;
  std::string segment_written_;    ///< Stored, but not yet named by the slot.
  std::optional<ClaimSlot> slot_;  ///< As last read or written.
  StoreVersion version_;
  qsizetype encoded_bytes_ = 0;
  std::optional<ClaimSlot> slot_in_write_;
  bool in_flight_ = false;
  std::deque<PendingClaim> pending_claims_;
  std::vector<std::uint64_t> claims_in_write_;
  std::deque<PendingRecord> pending_records_;
  std::vector<std::uint64_t> stored_records_;
  std::size_t records_in_write_ = 0;
  std::vector<Decision> decisions_;
  TimePoint retry_at_;
  TimePoint last_write_;
  Duration backoff_{0};
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_BATCHER_H_
