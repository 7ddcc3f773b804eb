#include "placement/lease_elector.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "placement/fencing_number.h"

namespace firmoor {
namespace {

constexpr Duration kRetryDelay{500};
// An older read does not show whether another daemon has taken the lease since.
constexpr Duration kMaxReadAge{100};

}  // namespace

LeaseElector::LeaseElector(std::string daemon, LeaseTiming timing)
    : daemon_(std::move(daemon)), timing_(timing) {
  FIRMOOR_PRECONDITION(
      timing.renewal_interval * 2 < timing.lifetime,
      "the renewal interval is less than half the lease lifetime");
}

QByteArray LeaseElector::Encode(std::int64_t fencing,
                                const std::optional<Successor>& to) const {
  // The send time makes each renewal change the object: other daemons watch its
  // version, and some stores keep the version if the content is unchanged.
  QCborArray lease{QString::fromStdString(to ? to->daemon : daemon_),
                   static_cast<qint64>(fencing),
                   static_cast<qint64>(sent_at_.time_since_epoch().count()),
                   holder_ || seen_handover_state_.isEmpty()
                       ? handover_state_
                       : seen_handover_state_};
  if (to) lease.append(QString::fromStdString(to->instance_id));
  return QCborValue(lease).toCbor();
}

std::int64_t LeaseElector::NextNumber() const {
  return NextFencing(
      std::max({seen_fencing_, fencing_, clock_fencing_, handed_fencing_}),
      version_);
}

LeaseElector::Call LeaseElector::MakeWrite(std::int64_t fencing) {
  requested_fencing_ = fencing;
  return {true, version_, Encode(fencing, std::nullopt)};
}

std::optional<LeaseElector::Call> LeaseElector::NextCall(TimePoint now) {
  if (is_renewal_insufficient_ && !IsLeaseValid(now)) LoseLease();
  if (in_flight_ || now < next_call_) return std::nullopt;
  in_flight_ = true;
  sent_at_ = now;
  sent_in_era_ = era_;
  if (!is_version_known_) return Call{};
  if (holder_ && !is_renewal_insufficient_) return MakeWrite(fencing_);
  // A daemon with a stagger reads the lease once more before it writes.
  const bool read_recently =
      holder_ || stagger_ == Duration(0) || now - read_at_ <= kMaxReadAge;
  if (now < AvailableAt(now) || !read_recently) return Call{};
  is_hand_over_adopted_ = false;
  is_requested_after_return_ = MayMissHolders();
  is_first_lease_requested_ =
      version_.revision == 0 && !is_requested_after_return_;
  return MakeWrite(NextNumber());
}

std::optional<LeaseElector::Call> LeaseElector::HandOver(const Successor& to,
                                                         TimePoint now) {
  const bool is_new = now - acquired_at_ < timing_.lifetime;
  if (in_flight_ || is_new || !is_version_known_ || !MayOrderFenced(now) ||
      now - *valid_from_ > timing_.renewal_interval + kRetryDelay) {
    return std::nullopt;
  }
  in_flight_ = true;
  sent_at_ = now;
  sent_in_era_ = era_;
  handed_to_ = to;
  handed_fencing_ = NextNumber();
  // A write of this daemon can no longer be one that it takes the lease by.
  requested_fencing_ = 0;
  may_take_back_ = true;
  const Call call{true, version_, Encode(handed_fencing_, to)};
  LoseLease();
  return call;
}

void LeaseElector::OnHandOverWritten(StoreStatus status, StoreVersion version,
                                     TimePoint now) {
  const auto to = *std::exchange(handed_to_, std::nullopt);
  if (status == StoreStatus::kOk) {
    may_take_back_ = false;
    version_ = version;
    seen_holder_ = to.daemon;
    seen_fencing_ = handed_fencing_;
    unchanged_since_ = now;
    next_call_ = AvailableAt(now);
    return;
  }
  is_version_known_ = false;
  version_ = {};
  next_call_ = status == StoreStatus::kConflict ? now : RetryAt(now);
}

void LeaseElector::ExpectLease(TimePoint now) {
  if (holder_) return;
  is_version_known_ = false;
  version_ = {};
  next_call_ = now;
}

bool LeaseElector::IsHandedToThis() const {
  return !instance_id_.empty() && seen_holder_ == daemon_ &&
         seen_instance_ == instance_id_ && seen_fencing_ > fencing_;
}

void LeaseElector::ObserveEra(std::int64_t era, TimePoint now) {
  if (is_era_known_ && era <= era_) return;
  has_era_risen_ = is_era_known_;
  is_era_known_ = true;
  era_ = era;
  era_known_since_ = now;
  if (!has_era_risen_) return;
  is_renewal_insufficient_ = holder_;
  is_version_known_ = false;
  version_ = {};
  next_call_ = holder_ ? now : std::min(next_call_, now + stagger_);
}

StoreStatus LeaseElector::RecordAnswer(StoreStatus status, std::int64_t era,
                                       TimePoint now) {
  // Without an answer the era is 0 if none is known.
  if (status != StoreStatus::kUnavailable || era > 0) ObserveEra(era, now);
  if (era < era_) status = StoreStatus::kUnavailable;
  const bool is_lost = status == StoreStatus::kUnavailable;
  if (std::exchange(is_store_lost_, is_lost) && !is_lost) {
    store_regained_at_ = now;
  }
  return status;
}

void LeaseElector::RecordObject(const StoredObject& object, TimePoint now) {
  const auto array = QCborValue::fromCbor(object.value).toArray();
  version_ = object.version;
  seen_holder_ = array.at(0).toString().toStdString();
  seen_fencing_ = array.at(1).toInteger();
  may_take_back_ &= seen_holder_ == daemon_ && seen_fencing_ == fencing_;
  // Missing in objects of earlier releases, and in a lease that its holder
  // wrote for itself.
  seen_instance_ = array.at(4).toString().toStdString();
  // A lease that was handed over has the time of another clock.
  unchanged_since_ = seen_instance_.empty()
                         ? LatestSendTime(array.at(2).toInteger(), now)
                         : now;
  // Missing in objects of earlier releases.
  seen_handover_state_ = array.at(3).toByteArray();
}

void LeaseElector::OnRead(StoreStatus answer, const StoredObject& object,
                          TimePoint now) {
  in_flight_ = false;
  const auto status = RecordAnswer(answer, object.version.era, now);
  const bool is_reply =
      status == StoreStatus::kOk || status == StoreStatus::kNotFound;
  next_call_ = is_reply ? now + kRetryDelay : RetryAt(now);
  read_at_ = now;
  if (!is_reply) return;
  if (status == StoreStatus::kNotFound) {
    if (!is_version_known_ || version_.revision != 0) absent_since_ = now;
    version_ = object.version;
  } else if (!is_version_known_ || object.version > version_) {
    RecordObject(object, now);
  }
  is_version_known_ = true;
  UpdateHolder(now);
  // Without a stagger the lease is taken over as soon as it expires. With one
  // there is no read before that: an earlier takeover is seen in the read that
  // precedes the write. An obsolete lease does not tell the holder to report
  // to, which takes it again at its next renewal.
  const auto available_at = std::max(now, AvailableAt(now));
  if (stagger_ > Duration(0)) {
    next_call_ = IsLeaseObsolete() ? now + timing_.renewal_interval + stagger_
                                   : std::max(now + kRetryDelay,
                                              available_at - takeover_delay_);
  }
  next_call_ = std::min(next_call_, available_at);
}

void LeaseElector::UpdateHolder(TimePoint now) {
  if (IsLeaseObsolete()) {
    if (!IsLeaseValid(now)) return LoseLease();
    is_renewal_insufficient_ = true;
    return;
  }
  if (version_.revision == 0) return;
  if (IsHandedToThis()) {
    requested_fencing_ = seen_fencing_;
    is_requested_after_return_ = false;
    is_first_lease_requested_ = false;
    is_hand_over_adopted_ = true;
  }
  const bool is_own = seen_holder_ == daemon_ &&
                      seen_fencing_ == requested_fencing_ &&
                      requested_fencing_ > 0;
  if (!is_own) return LoseLease();
  AdoptOwnWrite(now);
}

void LeaseElector::AdoptOwnWrite(TimePoint now) {
  // It is unknown when that write was sent, so the lease counts as expired
  // until it is renewed, or as valid as long as the previous one.
  if (!holder_ || fencing_ != seen_fencing_) StartTerm(seen_fencing_, now);
  is_renewal_insufficient_ = false;
}

void LeaseElector::StartTerm(std::int64_t fencing, TimePoint now) {
  FIRMOOR_INVARIANT(fencing >= fencing_,
                    "the fencing number of a daemon never decreases");
  continues_term_ = holder_;
  holder_ = true;
  was_handed_over_ = is_hand_over_adopted_;
  may_take_back_ = false;
  fencing_ = fencing;
  acquired_at_ = now;
  is_first_term_ = is_first_lease_requested_;
  took_over_after_return_ = is_requested_after_return_;
}

void LeaseElector::LoseLease() {
  holder_ = false;
  is_renewal_insufficient_ = false;
  valid_from_.reset();
}

void LeaseElector::OnWrite(StoreStatus answer, StoreVersion version,
                           TimePoint now) {
  in_flight_ = false;
  auto status = RecordAnswer(answer, version.era, now);
  // Revisions of another era do not tell what was replaced.
  if (sent_in_era_ != era_) status = StoreStatus::kUnavailable;
  if (handed_to_) return OnHandOverWritten(status, version, now);
  if (status == StoreStatus::kOk) {
    if (!holder_ || fencing_ != requested_fencing_) {
      StartTerm(requested_fencing_, now);
    }
    is_renewal_insufficient_ = false;
    seen_fencing_ = fencing_;
    seen_holder_ = daemon_;
    seen_instance_.clear();
    version_ = version;
    unchanged_since_ = now;
    valid_from_ = sent_at_;
    next_call_ = sent_at_ + timing_.renewal_interval;
    return;
  }
  is_version_known_ = false;
  version_ = {};
  if (status == StoreStatus::kConflict) {
    // While the lease is valid, only a write of an earlier era can have
    // replaced it; the next read tells.
    is_renewal_insufficient_ = era_ > 0 && IsLeaseValid(now);
    if (!is_renewal_insufficient_) LoseLease();
    next_call_ = now;
    return;
  }
  // Outcome unknown: read the object again. Until then the previous lifetime
  // applies.
  next_call_ = RetryAt(now);
}

bool LeaseElector::IsLeaseObsolete() const {
  return era_ > 0 &&
         (version_.revision == 0 || EraOfFencing(seen_fencing_) < era_);
}

bool LeaseElector::IsLeaseValid(TimePoint now) const {
  return holder_ && valid_from_ && now - *valid_from_ < timing_.lifetime;
}

bool LeaseElector::MayMissHolders() const {
  const bool is_first_lease =
      version_.revision == 0 && is_first_start_ && !has_era_risen_;
  return IsLeaseObsolete() && !is_first_lease;
}

TimePoint LeaseElector::RetryAt(TimePoint now) const {
  if (sent_in_era_ == era_) return now + kRetryDelay;
  return holder_ ? now : now + stagger_;
}

TimePoint LeaseElector::AvailableAt(TimePoint now) const {
  if (holder_) return now;
  // Nobody has replaced the lease that this daemon gave up.
  const bool is_own_last_term = may_take_back_ && version_.revision != 0 &&
                                seen_holder_ == daemon_ &&
                                seen_fencing_ == fencing_;
  if (is_own_last_term && !MayMissHolders()) return now;
  const auto unchanged_end = version_.revision == 0
                                 ? absent_since_
                                 : unchanged_since_ + timing_.lifetime;
  const auto end =
      MayMissHolders()
          ? std::max(unchanged_end, era_known_since_ + timing_.lifetime)
          : unchanged_end;
  // The staggers of all daemons pass while the store is away, so they start
  // again when it is back.
  const auto taken_by_others =
      stagger_ == Duration(0) ? end
                              : std::max(end, store_regained_at_) + stagger_;
  return taken_by_others + takeover_delay_;
}

void LeaseElector::OnHolderClock(const LeaseClock& clock, TimePoint now) {
  const auto era = EraOfFencing(clock.fencing);
  if (era > 0) ObserveEra(era, now);
  clock_fencing_ = clock.fencing;
  clock_offset_ = now - clock.now;
}

std::optional<LeaseClock> LeaseElector::Clock(TimePoint now) const {
  if (!MayOrderFenced(now)) return std::nullopt;
  return LeaseClock{fencing_, now};
}

TimePoint LeaseElector::LatestSendTime(std::int64_t holder_ms,
                                       TimePoint now) const {
  if (seen_fencing_ != clock_fencing_ || clock_fencing_ == 0) return now;
  // A write of an earlier era may have been executed long after it was sent, on
  // top of a valid lease.
  if (EraOfFencing(seen_fencing_) < era_) return now;
  return std::min(now, TimePoint(Duration(holder_ms)) + clock_offset_);
}

bool LeaseElector::MayOrderFenced(TimePoint now) const {
  return IsLeaseValid(now) && !is_renewal_insufficient_;
}

bool LeaseElector::MayOrderUnfenced(TimePoint now) const {
  const bool first = fencing_ == 1;
  const bool waited =
      first ||
      now - acquired_at_ >= timing_.lifetime + timing_.max_order_duration;
  return MayOrderFenced(now) && waited;
}

}  // namespace firmoor
