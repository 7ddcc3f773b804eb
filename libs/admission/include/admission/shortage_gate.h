#ifndef FIRMOOR_ADMISSION_SHORTAGE_GATE_H_
#define FIRMOOR_ADMISSION_SHORTAGE_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "admission/admission_level.h"
#include "admission/retry_turns.h"
#include "admission/service_kinds.h"
#include "admission/shortage_messages.h"
#include "base/time.h"

namespace firmoor {

/// A request that is about to be sent to the best upstream.
struct ShortageRequest {
  std::string service;
  std::string route;
  std::string workspace;
  int priority = 0;  ///< 0 is the highest.
  Duration time_left{0};
  /// Expected for a slot of the upstream if all requests waited alike.
  Duration expected_wait{0};
  double occupancy = 0;  ///< Part of the upstream's slots that is taken.
  /// From 0 to below 1; the same if the caller repeats the request soon.
  double lot = 0;
  bool is_first_attempt = true;

  bool operator==(const ShortageRequest&) const = default;
};

enum class ShortageVerdict {
  kAdmit,  ///< There is a free slot.
  kHold,   ///< Admitted; waits at the upstream, in order of urgency.
  kRefuse,
};

enum class ShortageReason {
  kRoom,        ///< Not refused.
  kStepsAside,  ///< Leaves the room to more urgent or less demanding callers.
  kLongWait,    ///< No upstream has room in time.
};

/// Name in logs.
std::string_view NameOf(ShortageReason reason);

struct ShortageDecision {
  ShortageVerdict verdict = ShortageVerdict::kAdmit;
  ShortageReason reason = ShortageReason::kRoom;
  Duration wait{0};       ///< Expected at the request's priority.
  Duration tolerated{0};  ///< Wait up to which it would be admitted.
  Duration retry_after{0};
  int upstream_priority = 0;  ///< At which the upstream is to queue it.
  double level = 1;
  double share = 1;
  double floor = 0;  ///< Part of the share that need not wait for urgent ones.
  bool has_returned = false;  ///< Came back at its turn.
  bool is_own_view = false;   ///< The coordinator's level is out of date.

  bool operator==(const ShortageDecision&) const = default;
};

/// Decisions since the start.
struct ShortageCounters {
  std::uint64_t admitted = 0;
  std::uint64_t held = 0;
  std::uint64_t refused = 0;

  bool operator==(const ShortageCounters&) const = default;
};

/// Decides at one daemon which requests are sent, wait or are refused while a
/// service has too little room, by the coordinator's admission level or,
/// without news of it, by this daemon's own view. Concerns services with
/// requests of several priorities only. Performs no I/O.
class ShortageGate {
 public:
  void SetKinds(KindsByService kinds) { kinds_ = std::move(kinds); }
  void SetWeights(WorkspaceWeight weight_of) {
    weight_of_ = std::move(weight_of);
  }

  /// Whether decisions on `service` are this object's.
  [[nodiscard]] bool Concerns(const std::string& service) const;
  ShortageDecision Decide(const ShortageRequest& request, TimePoint now);

  /// Demand since the last report; by workspace only while a service is short
  /// of room.
  ShortageReport Report(TimePoint now);
  void OnReply(const ShortageReply& reply, TimePoint now);

  /// By service and priority.
  [[nodiscard]] const std::map<std::string, std::map<int, ShortageCounters>>&
  counters() const {
    return counters_;
  }
  /// The admission level in force; null while there is room for all. Valid
  /// until the next call of a method that is not const.
  [[nodiscard]] const ServiceShares* SharesOf(const std::string& service,
                                              TimePoint now) const;

 private:
  struct ServiceState {
    AdmissionLevel own_level;
    ServiceDemand unreported;
    ServiceDemand period;  ///< Not yet in `own_level`.
    /// Admitted lately, by priority; decays.
    std::map<int, double> admitted;
    RetryTurns turns;
    std::map<std::string, Duration> usual_time;  ///< Longest, by route.
  };

  [[nodiscard]] bool HasNews(TimePoint now) const;
  void EndPeriods(TimePoint now);
  /// Whether the caller comes back at its turn.
  [[nodiscard]] static bool HasReturned(const ShortageRequest& request,
                                        ServiceState* state);
  /// Part of the admitted requests that upstreams start before one of
  /// `priority`: they serve in order of urgency.
  [[nodiscard]] double PartAhead(const ShortageRequest& request,
                                 const ServiceState& state, int priority,
                                 TimePoint now) const;
  void Judge(const ShortageRequest& request, const ServiceState& state,
             TimePoint now, ShortageDecision* decision) const;
  void Record(const ShortageRequest& request, ServiceState* state,
              ShortageDecision* decision, TimePoint now);

  KindsByService kinds_;
  WorkspaceWeight weight_of_ = [](const std::string&) { return 1.0; };
  std::map<std::string, ServiceState> states_;  ///< By service.
  std::map<std::string, std::map<int, ShortageCounters>> counters_;
  ShortageReply reply_;
  std::optional<TimePoint> replied_at_;
  std::optional<TimePoint> period_began_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_SHORTAGE_GATE_H_
