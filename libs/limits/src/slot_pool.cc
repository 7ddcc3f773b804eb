#include "limits/slot_pool.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

// Longer than a daemon uses its slots without a coordinator (UpstreamSlots),
// and than most requests then take to end.
constexpr Duration kClaimLifetime{8'000};
// Daemons tell of the same shortage within one interval of reports.
constexpr Duration kSameShortage{1'000};
// After a shortage the room is kept until the requests beyond it have ended.
constexpr Duration kRestPeriod{3'000};
// The room rises by one slot, or by this part of it, each time.
constexpr Duration kRaisePeriod{1'000};
constexpr std::int64_t kRaiseDivisor = 8;
// A room that caused rejections is tried again after this time.
constexpr Duration kRetryPeriod{15'000};
// A daemon keeps its slots for this time while others have none.
constexpr Duration kTurn{3'000};

// A pool is contested when less than one in so many slots is left.
constexpr std::int64_t kContestedPart = 5;

}  // namespace

SlotPool::SlotPool(std::int64_t room, TimePoint now)
    : registered_(std::max<std::int64_t>(1, room)),
      room_(registered_),
      ceiling_(registered_),
      lowered_at_(now - kRestPeriod),
      raised_at_(now),
      ceiling_at_(now) {}

SlotPool SlotPool::OfNextRun() const {
  auto next = *this;
  next.claims_.clear();
  next.by_age_.clear();
  next.occupied_ = 0;
  next.wanted_ = 0;
  return next;
}

std::int64_t SlotPool::Budget() const {
  const auto part =
      static_cast<std::int64_t>(static_cast<double>(room_) * fraction_);
  return std::max<std::int64_t>(1, part);
}

SlotPool::Claim SlotPool::Extract(const std::string& daemon, TimePoint now) {
  const auto found = claims_.find(daemon);
  if (found == claims_.end()) return {.reported_at = now, .held_since = now};
  const auto claim = found->second;
  occupied_ -= claim.occupied;
  wanted_ -= claim.wanted;
  by_age_.erase({claim.reported_at, daemon});
  claims_.erase(found);
  return claim;
}

void SlotPool::Insert(const std::string& daemon, const Claim& claim) {
  if (claim.occupied == 0 && claim.wanted == 0) return;
  occupied_ += claim.occupied;
  wanted_ += claim.wanted;
  by_age_.emplace(claim.reported_at, daemon);
  claims_.emplace(daemon, claim);
}

void SlotPool::RemoveExpired(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.begin()->first > kClaimLifetime) {
    Extract(std::string(by_age_.begin()->second), now);
  }
}

bool SlotPool::IsIdle(TimePoint now) const {
  return by_age_.empty() || now - by_age_.rbegin()->first > kClaimLifetime;
}

bool SlotPool::OnRejected(TimePoint now) {
  if (now - lowered_at_ < kSameShortage) return false;
  const bool was_trial = room_ < registered_ && room_ >= ceiling_;
  ceiling_ = std::max<std::int64_t>(1, room_ - 1);
  room_ = was_trial ? ceiling_ : std::max<std::int64_t>(1, room_ / 2);
  lowered_at_ = now;
  raised_at_ = now;
  ceiling_at_ = now;
  return !was_trial;
}

void SlotPool::LowerWithService(TimePoint now) {
  if (now - lowered_at_ < kSameShortage) return;
  room_ = std::max<std::int64_t>(1, room_ / 2);
  lowered_at_ = now;
  raised_at_ = now;
}

bool SlotPool::IsContested() const {
  return std::max(occupied_, wanted_) * kContestedPart >=
         Budget() * (kContestedPart - 1);
}

void SlotPool::Regain(TimePoint now) {
  if (ceiling_ < registered_ && now - ceiling_at_ >= kRetryPeriod) {
    ++ceiling_;
    ceiling_at_ = now;
  }
  const bool rests =
      now - lowered_at_ < kRestPeriod || now - raised_at_ < kRaisePeriod;
  if (room_ >= ceiling_ || rests) return;
  const auto step = std::max<std::int64_t>(1, room_ / kRaiseDivisor);
  room_ = std::min(ceiling_, room_ + step);
  raised_at_ = now;
}

void SlotPool::SetRegistered(std::int64_t room) {
  const auto registered = std::max<std::int64_t>(1, room);
  if (ceiling_ == std::exchange(registered_, registered)) ceiling_ = registered;
  ceiling_ = std::min(ceiling_, registered);
  room_ = std::min(room_, ceiling_);
}

bool SlotPool::Record(const std::string& daemon,
                      const UpstreamSlotReport& report, TimePoint now) {
  RemoveExpired(now);
  SetRegistered(report.room);
  auto claim = Extract(daemon, now);
  claim.occupied = std::max(report.held, report.in_flight);
  claim.wanted = report.wanted;
  claim.reported_at = now;
  Insert(daemon, claim);
  return report.rejected > 0 && OnRejected(now);
}

std::int64_t SlotPool::PartOf(const Claim& claim, TimePoint now) const {
  const auto budget = Budget();
  const auto all = wanted_ + claim.wanted;
  if (all <= budget) return claim.wanted;
  const double part = static_cast<double>(budget) *
                      static_cast<double>(claim.wanted) /
                      static_cast<double>(all);
  if (part >= 1) return static_cast<std::int64_t>(part);
  const bool had_turn = claim.occupied > 0 && now - claim.held_since >= kTurn;
  return claim.wanted > 0 && !had_turn ? 1 : 0;
}

std::int64_t SlotPool::Take(const std::string& daemon,
                            const UpstreamSlotReport& report, TimePoint now) {
  Regain(now);
  auto claim = Extract(daemon, now);
  claim.wanted = report.wanted;
  claim.reported_at = now;
  claim.occupied = std::max(report.held, report.in_flight);
  if (claim.occupied == 0) claim.held_since = now;
  const auto free = std::max<std::int64_t>(0, Budget() - occupied_);
  const auto slots = std::min(free, PartOf(claim, now));
  claim.occupied = std::max(claim.occupied, slots);
  Insert(daemon, claim);
  return slots;
}

}  // namespace firmoor
