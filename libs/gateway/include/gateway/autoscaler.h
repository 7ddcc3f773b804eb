#ifndef FIRMOOR_GATEWAY_AUTOSCALER_H_
#define FIRMOOR_GATEWAY_AUTOSCALER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "gateway/cloud_api.h"
#include "gateway/gateway.h"
#include "gateway/strategies.h"
#include "routing/route_table.h"
#include "routing/upstream_catalog.h"

namespace firmoor {

/// The engines of one service in one availability zone and market: reclaimable
/// or on demand.
struct UpstreamPool {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;

  auto operator<=>(const UpstreamPool&) const = default;
};

/// Number of engines in each pool.
using PoolSizes = std::map<UpstreamPool, int>;

/// Decides how many engines to order in the reclaimable and the on-demand
/// market.
///
/// Reclaimable engines are sized to cover the demand even when one availability
/// zone loses all of them; the share of a zone that has no capacity is spread
/// over the other zones. On-demand engines are ordered only when reclaimable
/// capacity is refused and too few engines serve, or would serve after the
/// next reclaim. They are released once reclaimable engines have replaced them.
/// The per-zone minimum counts engines of both markets. Pools grow immediately
/// and shrink after the demand has stayed low for a hold time.
///
/// Performs no I/O and reads no clock.
class Autoscaler {
 public:
  struct Input {
    std::vector<ServiceProfile> services;
    std::map<std::string, UpstreamEntry> upstreams;
    std::map<std::string, ServiceLoad> loads;  ///< Sums over all daemons.
  };

  explicit Autoscaler(TimePoint started_at, Strategies strategies = {});

  /// Returns the next order to send, or nothing while an order is in flight or
  /// when none is due. Report each order's result with `OnOrdered`.
  std::optional<UpstreamOrder> Next(const Input& input, TimePoint now);
  void OnOrdered(const UpstreamOrder& order, CloudStatus status, TimePoint now);

  /// Counts the listed engines that are not leaving.
  [[nodiscard]] static PoolSizes CountServing(const Input& input);

 private:
  struct LastOrder {
    int count = -1;  ///< -1 when the call got no answer.
    TimePoint at;    ///< When the call ended.
    bool refused = false;
    int max_serving = 0;  ///< Most engines that served at once since then.
  };
  /// The highest demand within a hold time.
  struct Peak {
    double demand = 0;  ///< In engines.
    TimePoint at;

    void Update(double value, Duration hold_time, TimePoint now);
  };
  /// Recent peaks of one service: of prompt tokens over a long and a short hold
  /// time, and of occupied slots over the short one.
  struct Peaks {
    Peak reclaimable;
    Peak on_demand;
    Peak slots;
  };
  /// Demand in engines.
  struct Demand {
    double reclaimable = 0;      ///< For which reclaimable engines are ordered.
    double on_demand = 0;        ///< For which on-demand engines are paid.
    double slots = 0;            ///< For the slots that requests occupy.
    bool is_warming_up = false;  ///< Observed for less than the warm-up time.

    bool operator==(const Demand&) const = default;
  };

  /// Engines of one zone.
  struct ZoneCounts {
    int on_demand = 0;
    int pending = 0;  ///< On-demand engines ordered but not serving yet.
    int reclaimable = 0;
    int target = 0;  ///< Reclaimable engines that should serve.
    /// Room that the on-demand engines leave for reclaimable ones.
    int reclaimable_limit = 0;
    /// The last order for reclaimable engines was accepted.
    bool is_available = false;

    bool operator==(const ZoneCounts&) const = default;
  };
  /// Engines beyond those that must serve, now and after the loss of all
  /// reclaimable engines of one zone; negative when some are missing.
  struct Surplus {
    int total = 0;    ///< Beyond the full demand.
    int minimum = 0;  ///< Beyond the part below which on-demand ones are added.
    int pending = 0;  ///< On-demand engines ordered but not serving yet.
    bool is_warming_up = false;  ///< As in `Demand`.

    bool operator==(const Surplus&) const = default;
  };

  /// After a gap between polls, without reports, demand is unknown rather than
  /// low: extends the peaks by the gap and restarts the warm-up time.
  void HandlePollGap(TimePoint now);
  /// Updates whether the list of upstreams, which grows while they start, is
  /// complete.
  void UpdateListSettled(const Input& input, const PoolSizes& serving,
                         TimePoint now);
  /// Engines of `service` that this autoscaler did not order.
  [[nodiscard]] int CountUnmanaged(const std::string& service,
                                   const PoolSizes& serving) const;
  /// Engines at which the requests in flight occupy no more than the target
  /// part of the slots.
  [[nodiscard]] double EnginesForSlots(const ServiceProfile& service,
                                       const ServiceLoad& load) const;
  [[nodiscard]] Demand ComputeDemand(const ServiceProfile& service,
                                     int unmanaged, const Input& input,
                                     TimePoint now);
  /// Counts each zone's engines and sets the number that should serve there
  /// for `demand`.
  [[nodiscard]] std::map<std::string, ZoneCounts> CountZones(
      const ServiceProfile& service, const PoolSizes& serving, double demand,
      TimePoint now) const;
  [[nodiscard]] Surplus ComputeSurplus(
      const std::map<std::string, ZoneCounts>& zones,
      const Demand& demand) const;
  /// On-demand engines that a zone can release.
  [[nodiscard]] static int OnDemandToRelease(const ZoneCounts& zone,
                                             const ScalingProfile& scaling,
                                             const Surplus& surplus);
  /// The size that each pool of `service` should have.
  [[nodiscard]] PoolSizes DesiredSizes(const ServiceProfile& service,
                                       const Input& input,
                                       const PoolSizes& serving, TimePoint now);
  /// Adds `missing` on-demand engines, in the cheapest zones with room, when
  /// reclaimable capacity was refused.
  void AddOnDemand(const ServiceProfile& service,
                   const std::map<std::string, ZoneCounts>& zones, int missing,
                   PoolSizes* desired) const;
  /// Result of the pool's last order; both are false when there was none.
  [[nodiscard]] bool WasRefused(const UpstreamPool& pool) const;
  [[nodiscard]] bool WasAccepted(const UpstreamPool& pool) const;
  /// Engines of an accepted order that may still start.
  [[nodiscard]] int PendingCount(const UpstreamPool& pool, int serving,
                                 const ScalingProfile& scaling,
                                 TimePoint now) const;
  /// Records how many engines have served since each order.
  void RecordServing(const PoolSizes& serving);
  [[nodiscard]] bool NeedsOrder(const UpstreamPool& pool, int desired,
                                int serving, const ScalingProfile& scaling,
                                TimePoint now) const;

  TimePoint started_at_;
  Strategies strategies_;
  TimePoint observing_since_;  ///< Start, or end of the last gap in polls.
  TimePoint polled_at_;        ///< Last call of `Next`.
  TimePoint list_grown_at_;    ///< Last growth before the list settled.
  int max_unmanaged_ = 0;
  bool is_list_settled_ = false;
  bool in_flight_ = false;
  std::map<UpstreamPool, LastOrder> last_orders_;
  std::map<std::string, Peaks> peaks_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_AUTOSCALER_H_
