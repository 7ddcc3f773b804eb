#ifndef FIRMOOR_PLACEMENT_LEASE_H_
#define FIRMOOR_PLACEMENT_LEASE_H_

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
  Duration renew_every{1'500};
  Duration order_time{3'000};  ///< Longest time an order may be under way.

  bool operator==(const LeaseTiming&) const = default;
};

/// Keeps or takes a lease that is an object of the platform's store.
///
/// No clock is compared between machines: a waiting daemon takes the lease
/// when it saw the object unchanged for the whole lifetime on its own clock,
/// and the holder counts its lifetime from before it sent its last renewal.
/// Each new holder has a higher fencing number. Pure.
class LeaseKeeper {
 public:
  /// A store call to make; answer with `OnRead` or `OnWrite`.
  struct Call {
    bool is_write = false;
    std::int64_t expected = 0;
    QByteArray value;
  };

  LeaseKeeper(std::string daemon, LeaseTiming timing);

  /// What the holder leaves for those that come after it, written with each
  /// renewal.
  void SetNote(QByteArray note) { note_ = std::move(note); }
  /// The note in the object that was read last; empty when it has none.
  [[nodiscard]] const QByteArray& seen_note() const { return seen_note_; }

  std::optional<Call> NextCall(TimePoint now);
  void OnRead(StoreStatus status, const StoredObject& object, TimePoint now);
  void OnWrite(StoreStatus status, std::int64_t version, TimePoint now);

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

  std::string daemon_;
  LeaseTiming timing_;
  bool in_flight_ = false;
  bool holder_ = false;
  bool known_ = false;
  std::string seen_holder_;
  QByteArray note_;
  QByteArray seen_note_;
  std::int64_t version_ = 0;
  std::int64_t seen_fencing_ = 0;
  std::int64_t fencing_ = 0;
  std::int64_t asked_fencing_ = 0;
  TimePoint unchanged_since_;
  TimePoint sent_at_;
  TimePoint valid_from_;
  TimePoint taken_at_;
  TimePoint next_call_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_LEASE_H_
