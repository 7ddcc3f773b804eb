#include "serving/claim_batcher.h"

#include <algorithm>

#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr Duration kFirstBackoff{20};
constexpr Duration kMaxBackoff{500};
// Least distance of two writes of a slot.
constexpr Duration kWriteDistance{25};
// Outcomes wait this long for a claim whose write they can share.
constexpr Duration kRecordPatience{150};

}  // namespace

void ClaimBatcher::Claim(std::uint64_t id, const firmoor::Claim& wanted,
                         TimePoint deadline, ClaimOrigin origin) {
  Pending pending{id, wanted, deadline};
  // The home may have written it.
  pending.written = origin == ClaimOrigin::kAfterHomeFailure;
  pending.origin = origin;
  pending_.push_back(std::move(pending));
}

void ClaimBatcher::QueryKey(std::uint64_t id, const firmoor::Claim& wanted,
                            TimePoint deadline) {
  Pending pending{id, wanted, deadline};
  pending.look = true;
  pending_.push_back(std::move(pending));
}

void ClaimBatcher::Record(std::uint64_t id, const firmoor::Claim& ended,
                          TimePoint now) {
  FIRMOOR_PRECONDITION(ended.state != ClaimState::kClaimed,
                       "an ended claim is not open");
  records_.push_back({id, ended, now});
}

bool ClaimBatcher::MayWrite(TimePoint now) const {
  if (now - last_write_ < kWriteDistance) return false;
  return !pending_.empty() || now - records_.front().since >= kRecordPatience;
}

void ClaimBatcher::DropRecords() {
  for (std::size_t i = 0; i < records_in_write_; ++i) {
    recorded_.push_back(records_.front().id);
    records_.pop_front();
  }
  records_in_write_ = 0;
}

std::vector<std::uint64_t> ClaimBatcher::TakeRecorded() {
  return std::exchange(recorded_, {});
}

bool ClaimBatcher::HasWork() const {
  return !pending_.empty() || !records_.empty();
}

std::optional<ClaimBatcher::StoreCall> ClaimBatcher::NextCall(
    TimePoint now, std::int64_t wall_ms) {
  if (in_flight_ || !HasWork() || now < retry_at_) return std::nullopt;
  if (!MayWrite(now)) return std::nullopt;
  if (!slot_) return Send({});
  if (const auto missing = MissingSegment()) {
    return Send({false, *missing, 0, {}});
  }
  if (MustSeal()) {
    // The name follows from the version, and so does the content.
    return Send({true, std::to_string(version_), 0, slot_->Ended().Encode()});
  }
  Plan plan{*slot_};
  if (!segment_written_.empty()) {
    plan.next.Seal(segment_written_, wall_ms);
    plan.changed = true;
  }
  plan.next.Expire(wall_ms);
  AddRecords(&plan);
  AddPending(&plan);
  if (plan.changed) return SendWrite(std::move(plan.next), now);
  DropRecords();
  if (!plan.must_read) return std::nullopt;
  slot_.reset();
  return Send({});
}

void ClaimBatcher::AddRecords(Plan* plan) {
  for (const auto& record : records_) {
    // A release whose claim is not there yet is written all the same: the
    // new version fences off the lost update that may still arrive.
    const bool fences = record.claim.state == ClaimState::kNotRun &&
                        plan->next.Find(record.claim.key) == nullptr;
    plan->changed |= plan->next.Record(record.claim) || fences;
  }
  records_in_write_ = records_.size();
}

void ClaimBatcher::AddPending(Plan* plan) {
  in_write_.clear();
  std::deque<Pending> waiting;
  for (auto& pending : pending_) {
    const bool decided =
        pending.look ? TryLook(pending, plan) : TryDecide(&pending, plan);
    if (!decided) waiting.push_back(pending);
  }
  pending_ = std::move(waiting);
}

bool ClaimBatcher::TryLook(const Pending& pending, Plan* plan) {
  const auto& key = pending.claim.key;
  const auto* held = FindSealed(plan->next, key);
  if (held == nullptr) held = plan->next.Find(key);
  const bool free = held == nullptr || held->state == ClaimState::kNotRun;
  if (free) {
    // Reads may be old, so that only an update proves a key to be free.
    plan->changed = true;
    in_write_.push_back(pending.id);
    return false;
  }
  decided_.push_back({pending.id, ResultFor(*held, pending.claim), *held});
  return true;
}

bool ClaimBatcher::TryDecide(Pending* pending, Plan* plan) {
  const auto& claim = pending->claim;
  const auto* holder = slot_->Find(claim.key);
  if (encoded_bytes_ >= kMaxSlotBytes && holder == nullptr) {
    Decide(*pending, ClaimResult::kStoreUnavailable, nullptr);
    return true;
  }
  if (const auto* sealed = FindSealed(plan->next, claim.key)) {
    decided_.push_back({pending->id, ResultFor(*sealed, claim), *sealed});
    return true;
  }
  const auto result = plan->next.TryClaim(claim);
  const bool own = holder != nullptr && holder->attempt == claim.attempt;
  if (result == ClaimResult::kGranted && !own) {
    plan->changed = true;
    pending->written = true;
    in_write_.push_back(pending->id);
    return false;
  }
  const bool may_be_old = result == ClaimResult::kInProgress &&
                          !pending->read_since && holder != nullptr;
  if (may_be_old) {
    // What is cached may be old; another daemon may have ended it.
    plan->must_read = true;
    return false;
  }
  Decide(*pending, result, &plan->next);
  return true;
}

ClaimBatcher::StoreCall ClaimBatcher::SendWrite(ClaimSlot next, TimePoint now) {
  writing_ = std::move(next);
  last_write_ = now;
  StoreCall call{true, "", version_, writing_->Encode()};
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

bool ClaimBatcher::MustSeal() const {
  return encoded_bytes_ > seal_bytes_ && segment_written_.empty() &&
         slot_->Ended().size() > 0;
}

const Claim* ClaimBatcher::FindSealed(const ClaimSlot& slot,
                                      const std::string& key) const {
  for (const auto& segment : slot.sealed()) {
    const auto* claim = segments_.at(segment.name).Find(key);
    if (claim != nullptr) return claim;
  }
  return nullptr;
}

void ClaimBatcher::OnSegmentRead(StoreStatus status, const StoredObject& object,
                                 TimePoint now) {
  // A segment was written before the slot named it, so a reader that does not
  // find it has an old view.
  if (status != StoreStatus::kOk) return AfterFailure(now);
  const auto decoded = Capture([&] { return ClaimSlot::Decode(object.value); });
  const auto* segment = std::get_if<ClaimSlot>(&decoded);
  if (segment == nullptr) return AfterFailure(now);
  segments_[segment_in_flight_] = *segment;
}

void ClaimBatcher::OnSegmentWritten(StoreStatus status, TimePoint now) {
  // A conflict means that the same segment of the same version is there.
  const bool there =
      status == StoreStatus::kOk || status == StoreStatus::kConflict;
  if (!there) return AfterFailure(now);
  segment_written_ = segment_in_flight_;
  segments_[segment_written_] = slot_->Ended();
}

void ClaimBatcher::Decide(const Pending& pending, ClaimResult result,
                          const ClaimSlot* seen) {
  Decision decided{pending.id, result, pending.claim};
  const auto* holder =
      seen == nullptr ? nullptr : seen->Find(pending.claim.key);
  if (holder != nullptr) decided.claim = *holder;
  decided_.push_back(std::move(decided));
}

void ClaimBatcher::OnRead(StoreStatus status, const StoredObject& object,
                          TimePoint now) {
  in_flight_ = false;
  if (!segment_in_flight_.empty()) return OnSegmentRead(status, object, now);
  segment_written_.clear();
  const bool found = status == StoreStatus::kOk;
  if (!found && status != StoreStatus::kNotFound) return AfterFailure(now);
  const auto decoded = Capture([&] { return ClaimSlot::Decode(object.value); });
  const auto* slot = std::get_if<ClaimSlot>(&decoded);
  // An object that cannot be read must not be replaced: it may hold claims.
  if (slot == nullptr) return AfterFailure(now);
  slot_ = *slot;
  std::erase_if(segments_, [this](const auto& entry) {
    const auto& sealed = slot_->sealed();
    return std::none_of(sealed.begin(), sealed.end(), [&](const auto& segment) {
      return segment.name == entry.first;
    });
  });
  version_ = found ? object.version : 0;
  encoded_bytes_ = object.value.size();
  backoff_ = Duration(0);
  for (auto& pending : pending_) pending.read_since = true;
}

void ClaimBatcher::OnWrite(StoreStatus status, std::int64_t version,
                           TimePoint now) {
  in_flight_ = false;
  if (!segment_in_flight_.empty()) return OnSegmentWritten(status, now);
  segment_written_.clear();
  if (status != StoreStatus::kOk) {
    slot_.reset();
    writing_.reset();
    if (status != StoreStatus::kConflict) AfterFailure(now);
    return;
  }
  FIRMOOR_INVARIANT(version > version_, "the version of a slot only rises");
  slot_ = std::move(writing_);
  writing_.reset();
  version_ = version;
  backoff_ = Duration(0);
  DropRecords();
  std::deque<Pending> waiting;
  for (const auto& pending : pending_) {
    const bool granted = std::find(in_write_.begin(), in_write_.end(),
                                   pending.id) != in_write_.end();
    if (granted) {
      const auto* holder = slot_->Find(pending.claim.key);
      FIRMOOR_INVARIANT(
          pending.look ||
              (holder != nullptr && holder->attempt == pending.claim.attempt),
          "a granted claim is in the stored slot");
      Decide(pending, ClaimResult::kGranted, nullptr);
    } else {
      waiting.push_back(pending);
    }
  }
  pending_ = std::move(waiting);
}

void ClaimBatcher::AfterFailure(TimePoint now) {
  slot_.reset();
  segment_written_.clear();
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  retry_at_ = now + backoff_;
}

std::vector<ClaimBatcher::Decision> ClaimBatcher::TakeDecisions(TimePoint now) {
  std::deque<Pending> waiting;
  for (const auto& pending : pending_) {
    const bool in_write =
        writing_ && std::find(in_write_.begin(), in_write_.end(), pending.id) !=
                        in_write_.end();
    if (pending.deadline > now) {
      waiting.push_back(pending);
      continue;
    }
    Decide(pending, ClaimResult::kStoreUnavailable, nullptr);
    if (pending.look || (!pending.written && !in_write)) continue;
    if (pending.origin == ClaimOrigin::kRemoteDaemon) continue;
    auto released = pending.claim;
    released.state = ClaimState::kNotRun;
    records_.push_back({0, released, now});
  }
  pending_ = std::move(waiting);
  return std::exchange(decided_, {});
}

}  // namespace firmoor
