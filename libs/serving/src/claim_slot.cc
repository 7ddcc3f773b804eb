#include "serving/claim_slot.h"

#include <QCborArray>
#include <QCborValue>
#include <utility>

namespace firmoor {
namespace {

constexpr qsizetype kFields = 10;

QByteArray Bytes(const std::string& text) {
  return QByteArray::fromStdString(text);
}

QCborArray ToArray(const Claim& claim) {
  return {Bytes(claim.key),
          Bytes(claim.body),
          Bytes(claim.attempt),
          Bytes(claim.owner),
          static_cast<int>(claim.state),
          claim.status,
          Bytes(claim.content_type),
          Bytes(claim.answer),
          claim.answer_kept,
          static_cast<qint64>(claim.changed_ms)};
}

Claim FromArray(const QCborArray& array) {
  const auto text = [&](qsizetype i) {
    return array.at(i).toByteArray().toStdString();
  };
  return {text(0),
          text(1),
          text(2),
          text(3),
          static_cast<ClaimState>(array.at(4).toInteger()),
          static_cast<int>(array.at(5).toInteger()),
          text(6),
          text(7),
          array.at(8).toBool(),
          array.at(9).toInteger()};
}

}  // namespace

QByteArray EncodeClaim(const Claim& claim) {
  return QCborValue(ToArray(claim)).toCbor();
}

Result<Claim> DecodeClaim(const QByteArray& bytes) {
  const auto fields = QCborValue::fromCbor(bytes).toArray();
  if (fields.size() != kFields) {
    return Fail(ResultCode::kBadMessage, "a claim has missing fields");
  }
  return FromArray(fields);
}

ClaimResult ResultFor(const Claim& held, const Claim& wanted) {
  const bool own = held.attempt == wanted.attempt;
  if (own && held.state == ClaimState::kClaimed) return ClaimResult::kGranted;
  if (held.body != wanted.body) return ClaimResult::kKeyReused;
  switch (held.state) {
    case ClaimState::kDone:
      return ClaimResult::kReplay;
    case ClaimState::kUnknown:
      return ClaimResult::kUnknown;
    default:
      return ClaimResult::kInProgress;
  }
}

ClaimResult ClaimSlot::TryClaim(const Claim& wanted) {
  const auto found = claims_.find(wanted.key);
  const bool is_free =
      found == claims_.end() || found->second.state == ClaimState::kNotRun;
  if (!is_free) return ResultFor(found->second, wanted);
  claims_.insert_or_assign(wanted.key, wanted);
  return ClaimResult::kGranted;
}

ClaimSlot ClaimSlot::EndedClaims() const {
  ClaimSlot ended;
  for (const auto& [key, claim] : claims_) {
    const bool is_final =
        claim.state == ClaimState::kDone || claim.state == ClaimState::kUnknown;
    if (is_final) ended.claims_.emplace(key, claim);
  }
  return ended;
}

void ClaimSlot::Seal(const std::string& name, std::int64_t now_ms) {
  std::erase_if(claims_, [](const auto& entry) {
    return entry.second.state != ClaimState::kClaimed;
  });
  sealed_.push_back({name, now_ms});
}

bool ClaimSlot::Record(const Claim& ended) {
  const auto found = claims_.find(ended.key);
  if (found == claims_.end() || found->second.attempt != ended.attempt) {
    return false;
  }
  if (found->second.state != ClaimState::kClaimed) return false;
  found->second = ended;
  return true;
}

void ClaimSlot::Expire(std::int64_t now_ms) {
  std::erase_if(claims_, [now_ms](const auto& entry) {
    return now_ms - entry.second.changed_ms > kClaimRetentionMs;
  });
  std::erase_if(sealed_, [now_ms](const SealedSegment& segment) {
    return now_ms - segment.sealed_ms > kClaimRetentionMs;
  });
}

const Claim* ClaimSlot::Find(const std::string& key) const {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

QByteArray ClaimSlot::Encode() const {
  QCborArray claims;
  for (const auto& [key, claim] : claims_) claims.append(ToArray(claim));
  QCborArray sealed;
  for (const auto& segment : sealed_) {
    sealed.append(QCborArray{QString::fromStdString(segment.name),
                             static_cast<qint64>(segment.sealed_ms)});
  }
  return QCborValue(QCborArray{claims, sealed}).toCbor();
}

Result<ClaimSlot> ClaimSlot::Decode(const QByteArray& bytes) {
  ClaimSlot slot;
  if (bytes.isEmpty()) return slot;
  const auto array = QCborValue::fromCbor(bytes).toArray();
  if (array.size() != 2) {
    return Fail(ResultCode::kBadMessage, "a claim slot must have two parts");
  }
  for (const auto& item : array.at(0).toArray()) {
    const auto fields = item.toArray();
    if (fields.size() != kFields) {
      return Fail(ResultCode::kBadMessage, "a claim has missing fields");
    }
    auto claim = FromArray(fields);
    slot.claims_.insert_or_assign(claim.key, std::move(claim));
  }
  for (const auto& item : array.at(1).toArray()) {
    const auto fields = item.toArray();
    slot.sealed_.push_back(
        {fields.at(0).toString().toStdString(), fields.at(1).toInteger()});
  }
  return slot;
}

}  // namespace firmoor
