#ifndef FIRMOOR_SERVING_CLAIM_SLOT_H_
#define FIRMOOR_SERVING_CLAIM_SLOT_H_

#include <QByteArray>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"

namespace firmoor {

/// State of a claim on an idempotency key.
enum class ClaimState {
  kClaimed = 0,  ///< The owner may send the request or has.
  kDone = 1,     ///< Executed; the answer is recorded.
  kNotRun = 2,   ///< Certainly not executed; the key can be claimed again.
  kUnknown = 3,  ///< Sent; it is not known whether it was executed.
};

/// A claim on an idempotency key: one request attempt reserves the key so that
/// it is executed at most once.
struct Claim {
  std::string key;      ///< Hash of workspace, service and idempotency key.
  std::string body;     ///< Hash of method, path and body.
  std::string attempt;  ///< Unique id of the claiming request.
  std::string owner;    ///< Incarnation of the sending daemon.
  ClaimState state = ClaimState::kClaimed;
  int status = 0;               ///< HTTP status of the recorded answer.
  std::string content_type;     ///< Content type of the recorded answer.
  std::string answer;           ///< Body of the recorded answer.
  bool answer_kept = false;     ///< False: the body was too large to record.
  std::int64_t changed_ms = 0;  ///< Wall clock time of the last change.

  bool operator==(const Claim&) const = default;
};

/// One claim as CBOR, for calls between daemons.
QByteArray EncodeClaim(const Claim& claim);
/// Fails with `kBadMessage`.
Result<Claim> DecodeClaim(const QByteArray& bytes);

/// Largest answer body that is recorded.
constexpr std::size_t kMaxRecordedAnswerBytes = 4'096;
/// Claims that were last changed earlier than this are removed.
constexpr std::int64_t kClaimRetentionMs = 24LL * 3'600 * 1'000;
/// Ended claims of a larger slot are moved to a segment.
constexpr qsizetype kSealThresholdBytes = 64 * 1'024;
/// A slot of this size accepts no new claims. Stays below the store's object
/// limit of 1 MB.
constexpr qsizetype kMaxSlotBytes = 900'000;

/// Reference to a segment: an immutable object of its own that holds ended
/// claims of a slot.
struct SealedSegment {
  std::string name;
  std::int64_t sealed_ms = 0;  ///< Not before any of its claims changed.

  bool operator==(const SealedSegment&) const = default;
};

/// Result of claiming or querying a key.
enum class ClaimResult {
  kGranted,           ///< This attempt holds the claim.
  kReplay,            ///< Executed before; the claim has the answer.
  kInProgress,        ///< Another attempt holds the claim.
  kUnknown,           ///< Another attempt has an unknown outcome.
  kKeyReused,         ///< The key was used for a different request.
  kStoreUnavailable,  ///< The claim could not be stored: not executed.
};

/// One object of the store: the claims on all keys that hash to it, and the
/// names of the segments that hold older ended claims. Open claims are always
/// in the object itself. Performs no I/O.
class ClaimSlot {
 public:
  /// Claims `wanted.key` if it is free. Granting changes the slot, unless the
  /// same attempt already holds the claim.
  ClaimResult TryClaim(const Claim& wanted);

  /// Records the outcome of an attempt. Returns false and leaves the slot
  /// unchanged when the attempt holds no open claim.
  bool Record(const Claim& ended);

  /// The claims to move to a segment: those with a final outcome, except claims
  /// that were not executed.
  [[nodiscard]] ClaimSlot EndedClaims() const;
  /// Removes all claims that are not open and adds the segment `name`, which
  /// holds those of `EndedClaims`.
  void Seal(const std::string& name, std::int64_t now_ms);
  [[nodiscard]] const std::vector<SealedSegment>& sealed() const {
    return sealed_;
  }

  /// Removes claims and segments that are past `kClaimRetentionMs`.
  void Expire(std::int64_t now_ms);

  [[nodiscard]] const Claim* Find(const std::string& key) const;
  [[nodiscard]] std::size_t size() const { return claims_.size(); }

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<ClaimSlot> Decode(const QByteArray& bytes);

  bool operator==(const ClaimSlot&) const = default;

 private:
  std::map<std::string, Claim> claims_;
  std::vector<SealedSegment> sealed_;
};

/// Result for `wanted` when `held` is the stored claim on its key.
ClaimResult ResultFor(const Claim& held, const Claim& wanted);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_SLOT_H_
