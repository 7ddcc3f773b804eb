#ifndef FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_
#define FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/object_store.h"

namespace firmoor {

/// Times of a lease.
struct LeaseTiming {
  Duration lifetime{6'000};  ///< Without a renewal it may be taken.
  Duration renewal_interval{1'500};
  Duration max_order_duration{
      3'000};  ///< Longest time an order may be under way.

  bool operator==(const LeaseTiming&) const = default;
};

/// The clock of a lease's holder, which counts from the start of its VM.
struct LeaseClock {
  std::int64_t fencing = 0;  ///< Of the lease; another one has another clock.
  TimePoint now;

  bool operator==(const LeaseClock&) const = default;
};

/// Keeps or takes a lease that is an object of the platform's store.
///
/// No clock is compared between machines: a waiting daemon takes the lease
/// when it saw the object unchanged for the whole lifetime on its is_own clock,
/// and the holder counts its lifetime from before it sent its last renewal.
/// The holder may tell others its clock: then they know the age of a renewal
/// when they first read it, and need not wait a lifetime anew.
/// Each new holder has a higher fencing number. Pure.
class LeaseElector {
 public:
  /// A store call to make; answer with `OnRead` or `OnWrite`.
  struct Call {
    bool is_write = false;
    std::int64_t expected = 0;
    QByteArray value;
  };

  LeaseElector(std::string daemon, LeaseTiming timing);

  /// What the holder leaves for those that come after it, written with each
  /// renewal.
  void SetHandoverState(QByteArray state) {
    handover_state_ = std::move(state);
  }
  /// The state in the object that was read last; empty when it has none.
  [[nodiscard]] const QByteArray& seen_handover_state() const {
    return seen_handover_state_;
  }

  /// How long after its end this daemon leaves the lease to others. In a large
  /// fleet each daemon has its is_own time, so that not all write at once.
  void SetStagger(Duration stagger) { stagger_ = stagger; }

  std::optional<Call> NextCall(TimePoint now);
  void OnRead(StoreStatus status, const StoredObject& object, TimePoint now);
  void OnWrite(StoreStatus status, std::int64_t version, TimePoint now);
  /// The holder told its clock. The message took some time, so renewals look
  /// younger than they are, never older.
  void OnHolderClock(const LeaseClock& clock, TimePoint now);
  /// What the holder tells others.
  [[nodiscard]] std::optional<LeaseClock> Clock(TimePoint now) const;

  /// Whether an order may be sent now to an upstream that checks fencing
  /// numbers. Ask right before each send: a holder that was frozen past its
  /// lifetime is told no.
  [[nodiscard]] bool MayOrderFenced(TimePoint now) const;

  /// The same for upstreams that ignore the number: a new holder also waits
  /// until the last order of the old one must have ended.
  [[nodiscard]] bool MayOrderUnfenced(TimePoint now) const;

  [[nodiscard]] bool IsHolder() const { return holder_; }
  [[nodiscard]] std::int64_t fencing() const { return fencing_; }
  [[nodiscard]] const std::string& seen_holder() const { return seen_holder_; }

 private:
  [[nodiscard]] QByteArray Encode(std::int64_t fencing) const;
  /// When this daemon may take the lease, unless it is renewed.
  [[nodiscard]] TimePoint AvailableAt() const;
  /// The latest time at which a write that was read now may have been sent.
  [[nodiscard]] TimePoint LatestSendTime(std::int64_t holder_ms,
                                         TimePoint now) const;

  std::string daemon_;
  LeaseTiming timing_;
  bool in_flight_ = false;
  bool holder_ = false;
  bool is_version_known_ = false;
  std::string seen_holder_;
  QByteArray handover_state_;
  QByteArray seen_handover_state_;
  std::int64_t version_ = 0;
  std::int64_t seen_fencing_ = 0;
  std::int64_t fencing_ = 0;
  std::int64_t requested_fencing_ = 0;
  TimePoint unchanged_since_;
  std::int64_t clock_fencing_ = 0;
  Duration clock_offset_{0};  ///< Of the is_own clock from the holder's.
  TimePoint sent_at_;
  TimePoint valid_from_;
  TimePoint acquired_at_;
  TimePoint next_call_;
  Duration stagger_{0};
  TimePoint read_at_;
  TimePoint absent_since_;  ///< While there is no lease object.
};

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_LEASE_ELECTOR_H_
