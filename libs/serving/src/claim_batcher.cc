#include "serving/claim_batcher.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr Duration kInitialBackoff{20};
constexpr Duration kMaxBackoff{500};
// Minimum interval between two writes of a slot.
constexpr Duration kMinWriteInterval{25};
// How long outcomes wait for a claim to share a write with.
constexpr Duration kMaxRecordDelay{150};

}  // namespace

void ClaimBatcher::Claim(std::uint64_t id, const firmoor::Claim& wanted,
                         TimePoint deadline, ClaimOrigin origin) {
  PendingClaim pending{id, wanted, deadline};
  // The home daemon may have stored it.
  pending.may_be_stored = origin == ClaimOrigin::kAfterHomeFailure;
  pending.origin = origin;
  pending_claims_.push_back(std::move(pending));
}

void ClaimBatcher::QueryKey(std::uint64_t id, const firmoor::Claim& wanted,
                            TimePoint deadline) {
  PendingClaim pending{id, wanted, deadline};
  pending.is_query = true;
  pending_claims_.push_back(std::move(pending));
}

void ClaimBatcher::Record(std::uint64_t id, const firmoor::Claim& ended,
                          TimePoint now) {
  FIRMOOR_PRECONDITION(ended.state != ClaimState::kClaimed,
                       "the state of an ended claim is final");
  pending_records_.push_back({id, ended, now});
}

bool ClaimBatcher::IsWriteDue(TimePoint now) const {
  if (now - last_write_ < kMinWriteInterval) return false;
  return !pending_claims_.empty() ||
         now - pending_records_.front().since >= kMaxRecordDelay;
}

void ClaimBatcher::CompleteRecords() {
  for (std::size_t i = 0; i < records_in_write_; ++i) {
    stored_records_.push_back(pending_records_.front().id);
    pending_records_.pop_front();
  }
  records_in_write_ = 0;
}

std::vector<std::uint64_t> ClaimBatcher::TakeStoredRecords() {
  return std::exchange(stored_records_, {});
}

bool ClaimBatcher::HasWork() const {
  return !pending_claims_.empty() || !pending_records_.empty();
}

std::optional<ClaimBatcher::StoreCall> ClaimBatcher::NextCall(
    TimePoint now, std::int64_t wall_ms) {
  if (in_flight_ || !HasWork() || now < retry_at_) return std::nullopt;
  if (!IsWriteDue(now)) return std::nullopt;
  if (!slot_) return Send({});
  if (const auto missing = MissingSegment()) {
    return Send({false, *missing, {}, {}});
  }
  if (ShouldSeal()) {
    // The slot version determines the name and the content of the segment.
    return Send({true,
                 std::to_string(version_.revision),
                 {},
                 slot_->EndedClaims().Encode()});
  }
  PlannedUpdate plan{*slot_};
  if (!segment_written_.empty()) {
    plan.next.Seal(segment_written_, wall_ms);
    plan.changed = true;
  }
  plan.next.Expire(wall_ms);
  AddRecords(&plan);
  AddPendingClaims(&plan);
  if (plan.changed) return SendWrite(std::move(plan.next), now);
  CompleteRecords();
  if (!plan.must_read) return std::nullopt;
  slot_.reset();
  return Send({});
}

void ClaimBatcher::AddRecords(PlannedUpdate* plan) {
  for (const auto& record : pending_records_) {
    // A release is written even if its claim is not in the slot: the lost
    // update may still arrive, and the new version makes it conflict.
    const bool needs_fence = record.claim.state == ClaimState::kNotRun &&
                             plan->next.Find(record.claim.key) == nullptr;
    plan->changed |= plan->next.Record(record.claim) || needs_fence;
  }
  records_in_write_ = pending_records_.size();
}

void ClaimBatcher::AddPendingClaims(PlannedUpdate* plan) {
  claims_in_write_.clear();
  std::deque<PendingClaim> waiting;
  for (auto& pending : pending_claims_) {
    const bool decided = pending.is_query ? TryAnswerQuery(pending, plan)
                                          : TryDecide(&pending, plan);
    if (!decided) waiting.push_back(pending);
  }
  pending_claims_ = std::move(waiting);
}

bool ClaimBatcher::TryAnswerQuery(const PendingClaim& pending,
                                  PlannedUpdate* plan) {
  const auto& key = pending.claim.key;
  const auto* held = FindInSegments(plan->next, key);
  if (held == nullptr) held = plan->next.Find(key);
  const bool is_free = held == nullptr || held->state == ClaimState::kNotRun;
  if (is_free) {
    // Reads may be stale; only a successful update confirms that the key is
    // free.
    plan->changed = true;
    claims_in_write_.push_back(pending.id);
    return false;
  }
  decisions_.push_back({pending.id, ResultFor(*held, pending.claim), *held});
  return true;
}

bool ClaimBatcher::TryDecide(PendingClaim* pending, PlannedUpdate* plan) {
  const auto& claim = pending->claim;
  const auto* holder = slot_->Find(claim.key);
  if (encoded_bytes_ >= kMaxSlotBytes && holder == nullptr) {
    AddDecision(*pending, ClaimResult::kStoreUnavailable, nullptr);
    return true;
  }
  if (const auto* sealed = FindInSegments(plan->next, claim.key)) {
    decisions_.push_back({pending->id, ResultFor(*sealed, claim), *sealed});
    return true;
  }
  const auto result = plan->next.TryClaim(claim);
  const bool own = holder != nullptr && holder->attempt == claim.attempt;
  if (result == ClaimResult::kGranted && !own) {
    plan->changed = true;
    pending->may_be_stored = true;
    claims_in_write_.push_back(pending->id);
    return false;
  }
  const bool may_be_stale = result == ClaimResult::kInProgress &&
                            !pending->read_since_request && holder != nullptr;
  if (may_be_stale) {
    // The cached slot may be stale: the claim may have ended meanwhile.
    plan->must_read = true;
    return false;
  }
  AddDecision(*pending, result, &plan->next);
  return true;
}

ClaimBatcher::StoreCall ClaimBatcher::SendWrite(ClaimSlot next, TimePoint now) {
  slot_in_write_ = std::move(next);
  last_write_ = now;
  StoreCall call{true, "", version_, slot_in_write_->Encode()};
  encoded_bytes_ = call.value.size();
  return Send(std::move(call));
}

ClaimBatcher::StoreCall ClaimBatcher::Send(StoreCall call) {
  in_flight_ = true;
  segment_in_flight_ = call.segment;
  return call;
}

std::optional<std::string> ClaimBatcher::MissingSegment() const {
  for (const auto& segment : slot_->sealed()) {
    if (!segments_.contains(segment.name)) return segment.name;
  }
  return std::nullopt;
}

bool ClaimBatcher::ShouldSeal() const {
  return encoded_bytes_ > seal_bytes_ && segment_written_.empty() &&
         slot_->EndedClaims().size() > 0;
}

const Claim* ClaimBatcher::FindInSegments(const ClaimSlot& slot,
                                          const std::string& key) const {
  for (const auto& segment : slot.sealed()) {
    const auto* claim = segments_.at(segment.name).Find(key);
    if (claim != nullptr) return claim;
  }
  return nullptr;
}

void ClaimBatcher::OnSegmentRead(StoreStatus status, const StoredObject& object,
                                 TimePoint now) {
  // A segment is written before the slot refers to it, so "not found" comes
  // from a stale read.
  if (status != StoreStatus::kOk) return BackOff(now);
  const auto decoded = Capture([&] { return ClaimSlot::Decode(object.value); });
  const auto* segment = std::get_if<ClaimSlot>(&decoded);
  if (segment == nullptr) return BackOff(now);
  segments_[segment_in_flight_] = *segment;
}

void ClaimBatcher::OnSegmentWritten(StoreStatus status, TimePoint now) {
  // A conflict means that the segment exists already; for the same slot version
  // its content is identical.
  const bool is_stored =
      status == StoreStatus::kOk || status == StoreStatus::kConflict;
  if (!is_stored) return BackOff(now);
  segment_written_ = segment_in_flight_;
  segments_[segment_written_] = slot_->EndedClaims();
}

void ClaimBatcher::AddDecision(const PendingClaim& pending, ClaimResult result,
                               const ClaimSlot* seen) {
  Decision decision{pending.id, result, pending.claim};
  const auto* holder =
      seen == nullptr ? nullptr : seen->Find(pending.claim.key);
  if (holder != nullptr) decision.claim = *holder;
  decisions_.push_back(std::move(decision));
}

void ClaimBatcher::OnRead(StoreStatus status, const StoredObject& object,
                          TimePoint now) {
  in_flight_ = false;
  if (!segment_in_flight_.empty()) return OnSegmentRead(status, object, now);
  segment_written_.clear();
  const bool found = status == StoreStatus::kOk;
  if (!found && status != StoreStatus::kNotFound) return BackOff(now);
  const auto decoded = Capture([&] { return ClaimSlot::Decode(object.value); });
  const auto* slot = std::get_if<ClaimSlot>(&decoded);
  // An object that cannot be decoded must not be replaced: it may hold claims.
  if (slot == nullptr) return BackOff(now);
  slot_ = *slot;
  std::erase_if(segments_, [this](const auto& entry) {
    const auto& sealed = slot_->sealed();
    return std::none_of(sealed.begin(), sealed.end(), [&](const auto& segment) {
      return segment.name == entry.first;
    });
  });
  version_ = found ? object.version : StoreVersion();
  encoded_bytes_ = object.value.size();
  backoff_ = Duration(0);
  for (auto& pending : pending_claims_) pending.read_since_request = true;
}

void ClaimBatcher::OnWrite(StoreStatus status, StoreVersion version,
                           TimePoint now) {
  in_flight_ = false;
  if (!segment_in_flight_.empty()) return OnSegmentWritten(status, now);
  segment_written_.clear();
  if (status != StoreStatus::kOk) {
    slot_.reset();
    slot_in_write_.reset();
    if (status != StoreStatus::kConflict) BackOff(now);
    return;
  }
  FIRMOOR_INVARIANT(version > version_,
                    "the version of a slot increases with each write");
  slot_ = std::move(slot_in_write_);
  slot_in_write_.reset();
  version_ = version;
  backoff_ = Duration(0);
  CompleteRecords();
  std::deque<PendingClaim> waiting;
  for (const auto& pending : pending_claims_) {
    const bool granted =
        std::find(claims_in_write_.begin(), claims_in_write_.end(),
                  pending.id) != claims_in_write_.end();
    if (granted) {
      const auto* holder = slot_->Find(pending.claim.key);
      FIRMOOR_INVARIANT(
          pending.is_query ||
              (holder != nullptr && holder->attempt == pending.claim.attempt),
          "a granted claim is in the stored slot");
      AddDecision(pending, ClaimResult::kGranted, nullptr);
    } else {
      waiting.push_back(pending);
    }
  }
  pending_claims_ = std::move(waiting);
}

void ClaimBatcher::BackOff(TimePoint now) {
  slot_.reset();
  segment_written_.clear();
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
  retry_at_ = now + backoff_;
}

std::vector<ClaimBatcher::Decision> ClaimBatcher::TakeDecisions(TimePoint now) {
  std::deque<PendingClaim> waiting;
  for (const auto& pending : pending_claims_) {
    const bool in_write =
        slot_in_write_ &&
        std::find(claims_in_write_.begin(), claims_in_write_.end(),
                  pending.id) != claims_in_write_.end();
    if (pending.deadline > now) {
      waiting.push_back(pending);
      continue;
    }
    AddDecision(pending, ClaimResult::kStoreUnavailable, nullptr);
    if (pending.is_query || (!pending.may_be_stored && !in_write)) continue;
    if (pending.origin == ClaimOrigin::kRemoteDaemon) continue;
    auto released = pending.claim;
    released.state = ClaimState::kNotRun;
    pending_records_.push_back({0, released, now});
  }
  pending_claims_ = std::move(waiting);
  return std::exchange(decisions_, {});
}

}  // namespace firmoor
