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

/// Who asked for a claim, which decides who may release it.
enum class ClaimOrigin {
  kLocal,             ///< Asked for by this daemon alone.
  kAfterHomeFailure,  ///< By this daemon, after the home did not answer.
  kRemoteDaemon,  ///< By another daemon, which alone may release the claim: it
                  ///< may have got it by itself meanwhile.
};

/// Claims and records outcomes in one slot by conditional updates. One
/// update is in flight at a time and what comes meanwhile goes with the
/// next one (group commit); writes keep a least distance and outcomes wait
/// a little for a claim to go with, so writes do not grow with the load. The
/// conditional update is the only fence: no lease and no clock is trusted.
/// An update whose answer was lost is resolved by reading the slot back and
/// finding the attempt's own id there. When the slot grows large its ended
/// claims move to a segment, an object that is written once before the slot
/// names it; segments are read once. Pure.
class ClaimBatcher {
 public:
  /// A store call to make; answer with `OnRead` or `OnWrite`.
  struct StoreCall {
    bool is_write = false;
    std::string segment;        ///< Empty: the slot itself.
    std::int64_t expected = 0;  ///< Version to replace.
    QByteArray value;
  };

  /// Fate of one claim.
  struct Decision {
    std::uint64_t id = 0;
    ClaimResult result = ClaimResult::kStoreUnavailable;
    Claim claim;  ///< The one that holds the key.
  };

  /// Seals a slot that is larger than `seal_bytes`.
  explicit ClaimBatcher(qsizetype seal_bytes = kSealThresholdBytes)
      : seal_bytes_(seal_bytes) {}

  /// Asks for a claim; given up with `kStoreUnavailable` at `deadline`, after
  /// which the claim is released in case a lost write still lands.
  void Claim(std::uint64_t id, const firmoor::Claim& wanted, TimePoint deadline,
             ClaimOrigin origin = ClaimOrigin::kLocal);

  /// Asks how a key stands without claiming it: `kGranted` when no earlier
  /// attempt ran or runs with it, which an update of the slot has proved;
  /// else what a claim would get; `kStoreUnavailable` at `deadline`.
  void QueryKey(std::uint64_t id, const firmoor::Claim& wanted,
                TimePoint deadline);

  /// Records how a granted claim ended. Kept until stored; `id` then shows
  /// in `TakeRecorded`.
  void Record(std::uint64_t id, const firmoor::Claim& ended, TimePoint now);

  /// The next store call, when none is in flight and there is work.
  std::optional<StoreCall> NextCall(TimePoint now, std::int64_t wall_ms);

  /// Answers to the call that is in flight.
  void OnRead(StoreStatus status, const StoredObject& object, TimePoint now);
  void OnWrite(StoreStatus status, std::int64_t version, TimePoint now);

  /// Claims that are decided, each once. Also gives up those past deadline.
  std::vector<Decision> TakeDecisions(TimePoint now);

  /// Ids of outcomes that were stored, each once.
  std::vector<std::uint64_t> TakeRecorded();

  /// Outcomes that are not stored yet.
  [[nodiscard]] std::size_t unrecorded() const {
    return pending_records_.size();
  }
  [[nodiscard]] bool HasWork() const;

 private:
  struct PendingClaim {
    std::uint64_t id;
    firmoor::Claim claim;
    TimePoint deadline;
    bool read_since_request =
        false;                   ///< The slot was read after it was asked for.
    bool may_be_stored = false;  ///< Was part of an update that was sent.
    ClaimOrigin origin = ClaimOrigin::kLocal;
    bool is_query = false;  ///< Only asks, claims nothing.
  };

  /// The update that is being put together.
  struct PlannedUpdate {
    ClaimSlot next;
    bool changed = false;    ///< It differs from what is stored.
    bool must_read = false;  ///< Somebody needs a newer view.
  };

  /// `seen` is the slot that the result was read from, if any.
  void AddDecision(const PendingClaim& pending, ClaimResult result,
                   const ClaimSlot* seen);
  void BackOff(TimePoint now);
  StoreCall Send(StoreCall call);
  StoreCall SendWrite(ClaimSlot next, TimePoint now);
  void AddRecords(PlannedUpdate* plan);
  void AddPendingClaims(PlannedUpdate* plan);
  /// Each answers the pending request when it can; false when it waits.
  bool TryAnswerQuery(const PendingClaim& pending, PlannedUpdate* plan);
  bool TryDecide(PendingClaim* pending, PlannedUpdate* plan);
  [[nodiscard]] std::optional<std::string> MissingSegment() const;
  [[nodiscard]] bool ShouldSeal() const;
  /// The claim of `key` in a segment that `slot` names.
  [[nodiscard]] const firmoor::Claim* FindInSegments(
      const ClaimSlot& slot, const std::string& key) const;
  void OnSegmentRead(StoreStatus status, const StoredObject& object,
                     TimePoint now);
  void OnSegmentWritten(StoreStatus status, TimePoint now);
  [[nodiscard]] bool IsWriteDue(TimePoint now) const;
  void CompleteRecords();

  struct PendingRecord {
    std::uint64_t id;  ///< 0: nobody asks.
    firmoor::Claim claim;
    TimePoint since;
  };

  qsizetype seal_bytes_;
  std::map<std::string, ClaimSlot> segments_;  ///< Those that were read.
  std::string segment_in_flight_;
  std::string segment_written_;    ///< Holds the ended claims of `slot_`.
  std::optional<ClaimSlot> slot_;  ///< As last read or written.
  std::int64_t version_ = 0;
  qsizetype encoded_bytes_ = 0;
  std::optional<ClaimSlot> writing_;
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
