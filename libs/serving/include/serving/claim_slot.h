#ifndef FIRMOOR_SERVING_CLAIM_SLOT_H_
#define FIRMOOR_SERVING_CLAIM_SLOT_H_

#include <QByteArray>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"

namespace firmoor {

/// State of the claim of one idempotency key.
enum class ClaimState {
  kClaimed = 0,  ///< Its owner may send it, or has sent it.
  kDone = 1,     ///< It ran; the answer is recorded.
  kNotRun = 2,   ///< It certainly did not run; the key may be claimed again.
  kUnknown = 3,  ///< It was sent and its outcome is not known.
};

/// The claim of one idempotency key.
struct Claim {
  std::string key;      ///< Hash of workspace, service and key.
  std::string body;     ///< Hash of method, path and body.
  std::string attempt;  ///< Unique id of the request that claims it.
  std::string owner;    ///< Incarnation of the daemon that sends it.
  ClaimState state = ClaimState::kClaimed;
  int status = 0;            ///< HTTP status of the recorded answer.
  std::string content_type;  ///< Of the recorded answer.
  std::string answer;        ///< Its body, when it was small enough.
  bool answer_kept = false;
  std::int64_t changed_ms = 0;  ///< Wall clock of the last change.

  bool operator==(const Claim&) const = default;
};

/// One claim as CBOR, for calls between daemons.
QByteArray EncodeClaim(const Claim& claim);
/// Fails with `kBadMessage`.
Result<Claim> DecodeClaim(const QByteArray& bytes);

/// Largest answer body that is recorded.
constexpr std::size_t kMaxRecordedAnswerBytes = 4'096;
/// Claims older than this are dropped.
constexpr std::int64_t kClaimRetentionMs = 24LL * 3'600 * 1'000;
/// A slot of this size has its ended claims split off.
constexpr qsizetype kSealThresholdBytes = 64 * 1'024;
/// A slot of this size takes no new claims, below the store's limit of 1 MB.
constexpr qsizetype kMaxSlotBytes = 900'000;

/// A part of a slot that was split off into an object of its own, which never
/// changes.
struct SealedSegment {
  std::string name;
  std::int64_t sealed_ms = 0;  ///< Not before the last change of its claims.

  bool operator==(const SealedSegment&) const = default;
};

/// What became of an attempt to claim.
enum class ClaimResult {
  kGranted,           ///< The claim is this attempt's.
  kReplay,            ///< It ran before: `claim` has the answer.
  kInProgress,        ///< Another attempt holds it.
  kUnknown,           ///< Another attempt was sent; its outcome is not known.
  kKeyReused,         ///< The key was used with another body.
  kStoreUnavailable,  ///< The claim could not be stored: not run.
};

/// One object of the store: the claims of all keys that hash to it, with the
/// names of the segments that hold its older ended claims. Claims that are
/// open are always in the object itself. Pure.
class ClaimSlot {
 public:
  /// Claims `wanted.key`, or tells who has it. Granting changes the slot,
  /// unless the same attempt has it already.
  ClaimResult TryClaim(const Claim& wanted);

  /// Records how the attempt ended; false when the attempt does not hold the
  /// claim, which leaves the slot as it is.
  bool Record(const Claim& ended);

  /// The claims that can be sealed: those that ended.
  [[nodiscard]] ClaimSlot EndedClaims() const;
  /// Removes the ended claims, which the segment `name` holds now, and those
  /// that did not run.
  void Seal(const std::string& name, std::int64_t now_ms);
  [[nodiscard]] const std::vector<SealedSegment>& sealed() const {
    return sealed_;
  }

  /// Drops claims and segments that are past retention.
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

/// Verdict on `wanted` when `held` has its key.
ClaimResult ResultFor(const Claim& held, const Claim& wanted);

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_CLAIM_SLOT_H_
