#ifndef FIRMOOR_LIMITS_UPSTREAM_SLOTS_H_
#define FIRMOOR_LIMITS_UPSTREAM_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "limits/announced_limits.h"
#include "limits/upstream_limit_messages.h"

namespace firmoor {

/// Daemon side of brittle upstreams, which crash when all daemons together
/// cause more rejections in a second than they announced to survive. Requests
/// to one of them need a slot; the coordinator grants slots with each report so
/// that the daemons together stay within its room.
///
/// A daemon keeps its slots for some seconds without a coordinator, then has
/// slots for a random part of the time. After a rejection, nothing is sent to
/// that upstream until the coordinator has replied to a later report. Services
/// that announce nothing have any number of slots. Performs no I/O.
class UpstreamSlots {
 public:
  /// What `IsAvailable` needs to know about an upstream.
  struct Upstream {
    const std::string& id;
    std::int64_t born_ms = 0;  ///< Identifies the run.
    const std::string& service;
    std::int64_t room = 0;  ///< Slots of its registration.
  };
  /// A change of the brittleness of a service that the coordinator told.
  struct Update {
    std::string service;
    LimitChange change = LimitChange::kNone;
    std::optional<double> rejection_tolerance;  ///< Empty: withdrawn.
    Duration age{0};                            ///< Of the announcement.

    bool operator==(const Update&) const = default;
  };

  /// Sets the name that tells this daemon from the others.
  void SetDaemon(const std::string& daemon) { daemon_ = daemon; }
  /// Sets the number of daemons that share the room without a coordinator.
  void SetDaemonCount(std::size_t daemons) { daemons_ = daemons; }

  /// Records what a response of an upstream of `service` announces.
  LimitChange OnResponse(const std::string& service,
                         std::optional<double> rejection_tolerance,
                         TimePoint now);
  [[nodiscard]] bool IsBrittle(const std::string& service) const;
  [[nodiscard]] std::size_t BrittleServiceCount() const {
    return brittle_.InForceCount();
  }

  /// Whether a request may be sent now.
  [[nodiscard]] bool IsAvailable(const Upstream& upstream, TimePoint now) const;
  /// Records a request that found no slot at any upstream; `upstream` is one of
  /// those that it would have been sent to.
  void RecordDenied(const Upstream& upstream);
  /// Whether an early report may obtain a slot.
  [[nodiscard]] bool MayObtain(const Upstream& upstream, TimePoint now) const;
  /// Estimated time of the next slot.
  [[nodiscard]] TimePoint NextAvailableTime(const Upstream& upstream,
                                            TimePoint now) const;

  /// Records a request that is sent, also to upstreams that are not brittle.
  void OnSend(const Upstream& upstream, TimePoint now);
  /// Records its end. `rejected`: the upstream had no room.
  void OnEnd(const std::string& id, bool rejected, TimePoint now);
  /// Whether the coordinator should soon hear of a rejection or of a slot that
  /// other daemons need, or this daemon of rejections of others.
  [[nodiscard]] bool NeedsEarlyReport(const std::string& id,
                                      TimePoint now) const;
  /// This daemon's requests at upstreams of `service`.
  [[nodiscard]] std::int64_t InFlight(const std::string& service) const;

  /// Adds to the report for the coordinator, and gives up the slots that were
  /// not needed since the last one.
  void AddTo(UpstreamLimitReports* reports, TimePoint now);
  /// Applies the reply to the report that was sent at `sent_at`.
  std::vector<Update> OnReply(const UpstreamLimitReply& reply,
                              TimePoint sent_at);

 private:
  /// This daemon's use of one run of an upstream.
  struct State {
    std::string service;
    std::int64_t born_ms = 0;
    std::int64_t room = 0;
    std::int64_t in_flight = 0;
    std::int64_t slots = 0;  ///< Held.
    std::int64_t peak = 0;   ///< Most in flight since the last report.
    std::int64_t denied = 0;
    std::int64_t rejected = 0;  ///< Since the last report.
    bool is_contested = false;  ///< By other daemons, as last told.
    bool has_asked = false;     ///< For further slots, in the last report.
    bool has_claim = false;  ///< The coordinator counts slots or demand of it.
    std::optional<TimePoint> rejected_at;
    bool rejected_since_report = false;
    std::vector<TimePoint> sent_at;  ///< Requests that may still be rejected.
    std::optional<TimePoint> refused_at;  ///< Last grant of no further slot.
  };

  /// A rejection by one upstream of a service.
  struct Rejection {
    TimePoint at;
    bool is_reported = false;
  };

  [[nodiscard]] const State* Find(const Upstream& upstream) const;
  State& Obtain(const Upstream& upstream);
  [[nodiscard]] std::int64_t SlotsOf(const Upstream& upstream,
                                     TimePoint now) const;
  /// Slots without a coordinator.
  [[nodiscard]] std::int64_t SharedSlots(const Upstream& upstream,
                                         TimePoint now) const;
  [[nodiscard]] bool IsPaused(const std::string& service, TimePoint now) const;
  /// Whether as many requests are on the way as may be rejected.
  [[nodiscard]] bool IsPaced(const Upstream& upstream, const State& state,
                             TimePoint now) const;
  [[nodiscard]] bool IsCoordinated(TimePoint now) const;

  std::string daemon_;
  std::size_t daemons_ = 64;             ///< Large, until the number is known.
  AnnouncedLimits brittle_;              ///< Tolerances, by service.
  std::map<std::string, State> states_;  ///< By upstream id.
  /// Services to which nothing is sent until the coordinator has replied.
  std::map<std::string, Rejection> rejections_;
  TimePoint reported_at_;
  std::int64_t number_ = 0;  ///< Of the last report.
  /// When the report was sent that the coordinator last replied to with grants.
  std::optional<TimePoint> coordinated_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_UPSTREAM_SLOTS_H_
