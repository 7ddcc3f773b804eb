#ifndef FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_
#define FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/object_store.h"

namespace firmoor {

struct LeaseTiming {
  Duration lifetime{6'000};  ///< Until an unrenewed lease may be taken over.
  Duration renewal_interval{1'500};
  Duration max_order_duration{3'000};  ///< Maximum time in flight.

  bool operator==(const LeaseTiming&) const = default;
};

/// Reading of the monotonic clock of a lease holder, which starts with its VM.
struct LeaseClock {
  std::int64_t fencing = 0;  ///< Fencing number of the holder.
  TimePoint now;

  bool operator==(const LeaseClock&) const = default;
};

/// Acquires and renews a lease that is stored as an object of the platform.
///
/// Clocks of different machines are never compared. A waiting daemon takes over
/// the lease after it has seen the object unchanged for the whole lifetime on
/// its own clock, and the holder counts the lifetime from before it sent its
/// last renewal. The holder may share readings of its clock: other daemons then
/// know the age of a renewal when they first read it and need not wait for
/// another lifetime. Each new holder has a higher fencing number.
///
/// The store may return from an older copy of itself, which does not tell who
/// took the lease since; a new era begins then. A holder stops acting when it
/// hears of the era, and takes the lease again with a number of that era. Until
/// its old lease expires nobody else does: other daemons wait until every
/// holder of earlier eras has expired, also one that has not heard. Performs no
/// I/O.
class LeaseElector {
 public:
  /// A store call to make. Pass the result to `OnRead` or `OnWrite`.
  struct Call {
    bool is_write = false;
    StoreVersion expected;
    QByteArray value;

    bool operator==(const Call&) const = default;
  };

  /// The daemon that gets the lease from its holder.
  struct Successor {
    std::string daemon;       ///< Name under which it holds the lease.
    std::string instance_id;  ///< Of its process: another one must not take it.

    bool operator==(const Successor&) const = default;
  };

  LeaseElector(std::string daemon, LeaseTiming timing);

  /// Sets the id of this process, without which no lease is handed to it.
  void SetInstance(std::string instance_id) {
    instance_id_ = std::move(instance_id);
  }

  /// Sets the state that is written with each renewal for later holders.
  void SetHandoverState(QByteArray state) {
    handover_state_ = std::move(state);
  }
  /// Handover state in the object as last read; empty if there is none.
  [[nodiscard]] const QByteArray& seen_handover_state() const {
    return seen_handover_state_;
  }

  /// Sets how long this daemon waits after the lease expired, or after the
  /// store is available again, before it takes over. In a large fleet each
  /// daemon waits a different time, so that they do not all write at once.
  void SetStagger(Duration stagger) { stagger_ = stagger; }

  /// Sets how much longer this daemon leaves an expired lease to others. It
  /// reads the lease meanwhile.
  void SetTakeoverDelay(Duration delay) { takeover_delay_ = delay; }

  /// Sets whether the whole system starts for the first time: nobody can have
  /// held the lease, so it is taken at once where it is absent, until the store
  /// returns from a copy.
  void SetFirstStart(bool is_first_start) { is_first_start_ = is_first_start; }

  /// Records an era of the store that this daemon heard of. The answers of the
  /// store and the numbers of holders need not be passed.
  void ObserveEra(std::int64_t era, TimePoint now);

  /// Returns the store call to make now, if any. There is at most one at a
  /// time.
  std::optional<Call> NextCall(TimePoint now);
  void OnRead(StoreStatus status, const StoredObject& object, TimePoint now);
  void OnWrite(StoreStatus status, StoreVersion version, TimePoint now);

  /// Returns the write that hands the lease to `to`, with a higher number. Pass
  /// its result to `OnWrite`. Stops being the holder at once, whatever becomes
  /// of the write: if its outcome is unknown, the object is read, and the lease
  /// taken again with a new number if nobody has replaced it. Empty while a
  /// call is under way, when the store answered too long ago, and earlier than
  /// a lifetime after the term began, since the holder before could get the
  /// lease back within a lifetime.
  std::optional<Call> HandOver(const Successor& to, TimePoint now);
  /// The holder says that it has handed the lease to this daemon: reads it.
  void ExpectLease(TimePoint now);
  /// Number that the lease was handed over with last; 0: it was not.
  [[nodiscard]] std::int64_t handed_fencing() const { return handed_fencing_; }
  /// Whether this term began with a lease that its holder handed over.
  [[nodiscard]] bool WasHandedOver() const { return was_handed_over_; }

  /// Records a clock reading shared by the holder. Its transmission delay makes
  /// renewals look younger than they are, never older.
  void OnHolderClock(const LeaseClock& clock, TimePoint now);
  /// Clock reading for other daemons; empty unless the lease is held.
  [[nodiscard]] std::optional<LeaseClock> Clock(TimePoint now) const;

  /// Whether an order may be sent now to an upstream that checks fencing
  /// numbers. Call right before each send: it is false for a holder that was
  /// suspended past the lifetime of its lease.
  [[nodiscard]] bool MayOrderFenced(TimePoint now) const;

  /// The same for upstreams that ignore fencing numbers: a new holder also
  /// waits until the last order of the previous one can no longer be in flight.
  [[nodiscard]] bool MayOrderUnfenced(TimePoint now) const;

  /// Stays true while the holder takes the lease again in a new era, which it
  /// may do until its old lease expires.
  [[nodiscard]] bool IsHolder() const { return holder_; }
  [[nodiscard]] std::int64_t fencing() const { return fencing_; }
  /// When this daemon learned that it holds the lease with `fencing()`. A
  /// holder that takes the lease again has a new number while its orders with
  /// the previous one may be in flight.
  [[nodiscard]] TimePoint term_start() const { return acquired_at_; }
  /// Whether this term began without a lease object of the store's era: what
  /// earlier holders wrote before they acted may be missing in the store.
  [[nodiscard]] bool TookOverAfterReturn() const {
    return took_over_after_return_;
  }
  /// Whether this term continues the previous one of this daemon without a
  /// break, with a new number: nobody else has held the lease in between.
  [[nodiscard]] bool ContinuesTerm() const { return continues_term_; }
  /// When this daemon first heard of the present era of the store, at or after
  /// its begin.
  [[nodiscard]] TimePoint era_known_since() const { return era_known_since_; }
  /// Whether nobody has held the lease before this term.
  [[nodiscard]] bool IsFirstTerm() const { return is_first_term_; }
  [[nodiscard]] const std::string& seen_holder() const { return seen_holder_; }

  bool operator==(const LeaseElector&) const = default;

 private:
  /// `to`: whom the lease is handed to; empty: it is this daemon's own.
  [[nodiscard]] QByteArray Encode(std::int64_t fencing,
                                  const std::optional<Successor>& to) const;
  [[nodiscard]] std::int64_t NextNumber() const;
  /// Whether the lease as last read was handed to this process.
  [[nodiscard]] bool IsHandedToThis() const;
  void OnHandOverWritten(StoreStatus status, StoreVersion version,
                         TimePoint now);
  Call MakeWrite(std::int64_t fencing);
  /// Records the era and availability of the store. Returns the status of the
  /// answer, `kUnavailable` if it is of an earlier era.
  StoreStatus RecordAnswer(StoreStatus status, std::int64_t era, TimePoint now);
  void RecordObject(const StoredObject& object, TimePoint now);
  /// Decides from the object as last read whether this daemon is the holder.
  void UpdateHolder(TimePoint now);
  /// A write of this daemon took effect although its response was lost.
  void AdoptOwnWrite(TimePoint now);
  void StartTerm(std::int64_t fencing, TimePoint now);
  void LoseLease();
  /// Whether the lease cannot tell who held it: it is absent, or as an earlier
  /// era left it. Never in era 0.
  [[nodiscard]] bool IsLeaseObsolete() const;
  /// Whether nobody else can have taken the lease since this daemon did.
  [[nodiscard]] bool IsLeaseValid(TimePoint now) const;
  /// Earliest time to take over the lease if it is not renewed.
  [[nodiscard]] TimePoint AvailableAt(TimePoint now) const;
  /// Whether earlier holders may have left no trace in this era.
  [[nodiscard]] bool MayMissHolders() const;
  [[nodiscard]] TimePoint RetryAt(TimePoint now) const;
  /// Latest time at which a write that was read now may have been sent.
  /// `holder_ms`: its send time on the holder's clock.
  [[nodiscard]] TimePoint LatestSendTime(std::int64_t holder_ms,
                                         TimePoint now) const;

  std::string daemon_;
  std::string instance_id_;
  LeaseTiming timing_;
  bool in_flight_ = false;
  bool holder_ = false;
  /// The holder may not act before it has taken the lease again: the store has
  /// entered another era, or a write of an earlier one replaced the lease.
  bool is_renewal_insufficient_ = false;
  bool is_first_start_ = false;
  bool is_era_known_ = false;
  bool has_era_risen_ = false;
  std::int64_t era_ = 0;
  TimePoint era_known_since_;
  std::int64_t sent_in_era_ = 0;  ///< Era known when the last call was made.
  bool is_version_known_ = false;
  std::string seen_holder_;
  QByteArray handover_state_;
  QByteArray seen_handover_state_;
  StoreVersion version_;
  std::int64_t seen_fencing_ = 0;
  std::int64_t fencing_ = 0;
  std::int64_t requested_fencing_ = 0;
  bool is_requested_after_return_ = false;
  bool took_over_after_return_ = false;
  bool is_first_lease_requested_ = false;
  bool is_first_term_ = false;
  bool continues_term_ = false;
  bool is_hand_over_adopted_ = false;
  bool was_handed_over_ = false;
  std::optional<Successor> handed_to_;  ///< Being written.
  std::int64_t handed_fencing_ = 0;     ///< Last number that was handed over.
  /// Whether the lease was handed over by a write that may not have happened.
  bool may_take_back_ = false;
  std::string seen_instance_;  ///< Whom the lease as last read is handed to.
  TimePoint unchanged_since_;
  std::int64_t clock_fencing_ = 0;
  Duration clock_offset_{0};  ///< Own clock minus the holder's clock.
  TimePoint sent_at_;
  std::optional<TimePoint> valid_from_;  ///< Empty: expired or not held.
  TimePoint acquired_at_;
  TimePoint next_call_;
  Duration stagger_{0};
  Duration takeover_delay_{0};
  TimePoint read_at_;
  TimePoint absent_since_;  ///< Valid if there is no lease object.
  bool is_store_lost_ = false;
  TimePoint store_regained_at_;  ///< First answer after the last outage.
};

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_
