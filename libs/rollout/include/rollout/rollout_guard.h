#ifndef FIRMOOR_ROLLOUT_ROLLOUT_GUARD_H_
#define FIRMOOR_ROLLOUT_ROLLOUT_GUARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "rollout/rollout_messages.h"
#include "rollout/version_comparison.h"
#include "routing/upstream_catalog.h"
#include "routing/version_filter.h"

namespace firmoor {

/// Limits of what a version that may be bad gets, over all daemons.
struct RolloutSettings {
  bool enabled = false;
  /// Share of a service's requests from the order to its deadline.
  double expose_share = 0.1;
  double expose_slack = 0;  ///< Requests beyond the share.
  /// Time within which a bad version gets no more requests.
  Duration rollback{5'000};

  bool operator==(const RolloutSettings&) const = default;
};

/// A daemon's part in roll-outs: decides which requests may go to the target
/// version, and collects what became of them.
///
/// Each daemon keeps its own requests to the target within the allowed share of
/// its own requests, so the sum over all daemons is within the share of all
/// requests whatever messages are lost. It stops by its own evidence, and when
/// it has not heard the coordinator for a while. Performs no I/O.
class RolloutGuard {
 public:
  /// `daemon`: name of this daemon.
  RolloutGuard(RolloutSettings settings, std::string daemon)
      : settings_(settings), daemon_(std::move(daemon)) {}

  [[nodiscard]] std::vector<RolloutOrder> orders() const;
  /// An order that has not changed keeps its counts. `upstreams`: all of them.
  void ApplyOrder(const RolloutOrder& order,
                  const std::map<std::string, UpstreamEntry>& upstreams,
                  TimePoint now);
  /// A version that was reverted gets nothing while its upstreams are listed,
  /// unless it is ordered again or no other is left.
  void RemoveOrder(const std::string& service);
  void SetUpstreams(const std::map<std::string, UpstreamEntry>& entries,
                    TimePoint now);
  [[nodiscard]] bool IsActive() const {
    return !states_.empty() || !reverted_.empty();
  }

  /// Whether the next attempt at `service` is to go to the target. `is_first`:
  /// of its request; the others leave a target that may be bad.
  [[nodiscard]] bool ChoosesTarget(const std::string& service, bool is_first,
                                   TimePoint now) const;
  /// Upstreams for a request; `to_target`: it was chosen to go to the target.
  [[nodiscard]] VersionFilter FilterFor(const std::string& service,
                                        bool to_target, TimePoint now) const;
  /// Whether a request to `version` may be sent now. `is_bound`: it goes on
  /// with a stream of that version.
  [[nodiscard]] bool MaySend(const std::string& service,
                             const std::string& version, bool is_bound,
                             TimePoint now) const;

  /// Whether the service's load may go to the upstream, so that it is part of
  /// the capacity to order. The target's is not until all requests go there,
  /// and the others' is no more from then on.
  [[nodiscard]] bool IsCapacity(const UpstreamEntry& upstream) const;

  /// Records an attempt. `is_first`: of its request, at this daemon.
  void OnSend(const std::string& service, const std::string& version,
              bool is_first, TimePoint now);
  /// Records that the first part of a response took `bucket`, or the time
  /// between its events if `route` ends with `kGapSuffix`.
  void OnPace(const UpstreamEntry& upstream, const std::string& route,
              std::size_t bucket, TimePoint now);
  /// Records a response that has ended. Returns whether the daemon stops
  /// sending requests to the target because of it.
  bool OnEnd(const UpstreamEntry& upstream, const std::string& route, bool bad,
             TimePoint now);

  /// `in_flight` returns this daemon's requests at an upstream.
  [[nodiscard]] RolloutReports Report(
      const std::function<std::int64_t(const std::string&)>& in_flight,
      TimePoint now) const;
  /// Applies the coordinator's reply. Returns the services whose stage changed.
  std::vector<std::string> Apply(const RolloutReplies& replies, TimePoint now);

  [[nodiscard]] std::string MetricsText() const;

 private:
  struct State {
    RolloutOrder order;
    TimePoint known_since;
    RolloutStage stage = RolloutStage::kWaiting;
    /// Of the coordinator's last word.
    std::optional<TimePoint> heard_at;
    std::optional<TimePoint> stopped_at;
    std::int64_t requests = 0;
    std::int64_t sent = 0;
    std::int64_t since_target = 0;  ///< Requests since the last to the target.
    EvidenceByRoute evidence;
    std::map<std::string, UpstreamCounts> target_counts;  ///< By id.
    std::map<std::string, TimePoint> listed_since;        ///< Targets, by id.
    VersionComparison comparison{kLocalFalseAlarm};
    std::vector<std::string> targets;  ///< Ids, canaries first.
    std::set<std::string> baseline;    ///< Ids.
    bool has_seen_baseline = false;
    /// Ids of the baseline that the complete roll-out has yet to stop.
    std::set<std::string> stopping;
    bool is_over = false;  ///< Complete, and nothing of the baseline is left.
  };

  using Versions = std::set<std::string, std::less<>>;
  /// What is left of earlier orders of a service.
  struct Reverted {
    Versions versions;
    bool has_others = false;  ///< Upstreams of other versions are listed.
  };

  /// A daemon stops by itself rather too early: the coordinator lets it go on.
  static constexpr double kLocalFalseAlarm = 0.01;

  /// Null if the service has no order, nothing but the target, or an order that
  /// is over.
  [[nodiscard]] const State* Find(const std::string& service) const;
  /// Null if the service has no order that is in progress.
  State* FindRunning(const std::string& service);
  /// Whether the target gets requests from here at all.
  [[nodiscard]] bool IsOpen(const State& state, TimePoint now) const;
  [[nodiscard]] bool HasAllowance(const State& state) const;
  void UpdateUpstreams(State* state,
                       const std::map<std::string, UpstreamEntry>& entries,
                       TimePoint now);
  /// Looks whether the baseline of a complete roll-out is gone.
  static void UpdateStopping(State* state);
  /// Remembers the target of an order that ends if it was reverted.
  void Remember(const State& state);
  void UpdateReverted(const std::map<std::string, UpstreamEntry>& entries);
  /// Versions of a service that get nothing, whatever its present order says.
  [[nodiscard]] Versions RevertedOf(const std::string& service) const;
  [[nodiscard]] bool IsReverted(const std::string& service,
                                const std::string& version) const;
  [[nodiscard]] VersionFilter FilterOfOrder(const State& state, bool to_target,
                                            TimePoint now) const;
  /// Counts of a target upstream; of all the others beyond a bound together.
  static UpstreamCounts& CountsOf(State* state, const std::string& upstream);
  [[nodiscard]] std::set<std::string> CanariesOf(const State& state,
                                                 TimePoint now) const;
  /// Only the target is left, and it is known to be sound or nothing is known.
  [[nodiscard]] static bool IsLeftToTarget(const State& state);

  RolloutSettings settings_;
  std::string daemon_;
  std::int64_t local_stops_ = 0;
  std::map<std::string, State> states_;       ///< By service.
  std::map<std::string, Reverted> reverted_;  ///< By service.
};

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_ROLLOUT_GUARD_H_
