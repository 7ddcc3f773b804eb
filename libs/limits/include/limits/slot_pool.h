#ifndef FIRMOOR_LIMITS_SLOT_POOL_H_
#define FIRMOOR_LIMITS_SLOT_POOL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"
#include "limits/upstream_limit_messages.h"

namespace firmoor {

/// Coordinator side of one run of a brittle upstream: divides its room, in
/// requests at once, among the daemons that want to send there. A daemon's
/// slots count as used until it reports to hold fewer, so that lost replies
/// cause no excess.
///
/// The room is at most the slots of the upstream's registration. It falls when
/// daemons report rejections and is then regained slowly. The cost of a grant
/// does not depend on the number of daemons. Performs no I/O.
class SlotPool {
 public:
  explicit SlotPool(std::int64_t room, TimePoint now);
  /// The pool of the next run of the upstream, which has lost the requests but
  /// probably has the same room.
  [[nodiscard]] SlotPool OfNextRun() const;

  /// Sets the part of the room that is handed out; the rest is left to daemons
  /// that do not report or do not keep to slots.
  void SetFraction(double fraction) { fraction_ = fraction; }

  /// Records a report without granting slots. Returns whether it told of a
  /// shortage that was not known.
  bool Record(const std::string& daemon, const UpstreamSlotReport& report,
              TimePoint now);
  /// Lowers the room since other upstreams of the service have become short.
  void LowerWithService(TimePoint now);
  /// Returns the slots that the daemon may use after the report, which has been
  /// recorded.
  std::int64_t Take(const std::string& daemon, const UpstreamSlotReport& report,
                    TimePoint now);
  /// Whether nearly all of the room is used or wanted.
  [[nodiscard]] bool IsContested() const;

  /// Requests at once that the upstream is believed to take.
  [[nodiscard]] std::int64_t room() const { return room_; }
  /// Whether no daemon has reported for long.
  [[nodiscard]] bool IsIdle(TimePoint now) const;

 private:
  /// What one daemon wants and holds.
  struct Claim {
    std::int64_t occupied = 0;  ///< Slots that it may be using.
    std::int64_t wanted = 0;
    TimePoint reported_at;
    TimePoint held_since;  ///< When it began to hold slots.
  };

  Claim Extract(const std::string& daemon, TimePoint now);
  void Insert(const std::string& daemon, const Claim& claim);
  void RemoveExpired(TimePoint now);
  void SetRegistered(std::int64_t room);
  bool OnRejected(TimePoint now);
  void Regain(TimePoint now);
  [[nodiscard]] std::int64_t Budget() const;
  [[nodiscard]] std::int64_t PartOf(const Claim& claim, TimePoint now) const;

  std::int64_t registered_;  ///< Slots of the registration.
  std::int64_t room_;
  /// Room at which there is probably no rejection; at least `room_`.
  std::int64_t ceiling_;
  double fraction_ = 1;
  TimePoint lowered_at_;
  TimePoint raised_at_;
  TimePoint ceiling_at_;
  std::map<std::string, Claim> claims_;                 ///< By daemon.
  std::set<std::pair<TimePoint, std::string>> by_age_;  ///< Oldest first.
  std::int64_t occupied_ = 0;                           ///< Sum of all claims.
  std::int64_t wanted_ = 0;                             ///< Sum of all claims.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_SLOT_POOL_H_
