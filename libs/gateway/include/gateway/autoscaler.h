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

/// Where upstreams of a service are ordered, and at which price.
struct UpstreamPool {
  std::string service;
  std::string availability_zone;
  bool reclaimable = false;

  auto operator<=>(const UpstreamPool&) const = default;
};

using PoolSizes = std::map<UpstreamPool, int>;

/// Decides how many engines to order in two markets. Demand is met by
/// reclaimable engines, with so many to spare that those of any one zone may
/// go; while a zone has none to be had, the others carry its part. Engines on
/// demand are bought where reclaimable ones cannot be had and too few serve,
/// or would serve after the next reclaim, and given up when reclaimable ones
/// serve in their place. The smallest number of a zone counts both kinds.
/// Growth follows at once, shrinking after a while. Pure.
class Autoscaler {
 public:
  struct Input {
    std::vector<ServiceProfile> services;
    std::map<std::string, UpstreamEntry> upstreams;
    std::map<std::string, ServiceLoad> loads;  ///< Over all daemons.
  };

  explicit Autoscaler(TimePoint started_at, Strategies strategies = {});

  /// The next order to send; one at a time.
  std::optional<UpstreamOrder> Next(const Input& input, TimePoint now);
  void OnOrdered(const UpstreamOrder& order, CloudStatus status, TimePoint now);

  /// Engines that serve and stay.
  [[nodiscard]] static PoolSizes CountServing(const Input& input);

 private:
  struct LastOrder {
    int count = -1;  ///< -1: not known.
    TimePoint at;
    bool refused = false;
    int max_serving = 0;  ///< Most that have served since.
  };
  struct Peak {
    double demand = 0;
    TimePoint at;

    void Update(double value, Duration hold_time, TimePoint now);
  };
  /// Highest needs of late, over a long and a short time.
  struct Peaks {
    Peak reclaimable;
    Peak on_demand;
    Peak slots;  ///< By the slots that are taken.
  };
  /// Engines that are needed: for as many, reclaimable ones are ordered, and
  /// engines on demand are paid.
  struct Demand {
    double reclaimable = 0;
    double on_demand = 0;
    double slots = 0;            ///< For the slots that requests take.
    bool is_warming_up = false;  ///< Demand was not seen for long enough.

    bool operator==(const Demand&) const = default;
  };

  /// Engines of one zone.
  struct ZoneCounts {
    int on_demand = 0;
    int pending = 0;  ///< On demand, ordered and not serving yet.
    int reclaimable = 0;
    int target = 0;  ///< Reclaimable ones that should serve.
    int reclaimable_limit =
        0;  ///< Most reclaimable ones beside those on demand.
    bool is_available = false;  ///< Whether the last order was accepted.

    bool operator==(const ZoneCounts&) const = default;
  };
  /// Engines beyond what must serve, now and without the reclaimable ones of
  /// any one zone; negative when some are missing.
  struct Surplus {
    int total = 0;    ///< Beyond the whole need.
    int minimum = 0;  ///< Beyond the part below which engines are bought.
    int pending = 0;  ///< On demand, ordered and not serving yet.
    bool is_warming_up = false;  ///< Demand was not seen for long enough.

    bool operator==(const Surplus&) const = default;
  };

  /// Without reports demand is unknown, not low: what was known stays.
  void HandlePollGap(TimePoint now);
  /// Notes whether the list of upstreams, which grows while they start, is
  /// whole.
  void UpdateListSettled(const Input& input, const PoolSizes& serving,
                         TimePoint now);
  /// Engines of `service` that this duty did not order.
  [[nodiscard]] int CountUnmanaged(const std::string& service,
                                   const PoolSizes& serving) const;
  /// Engines for which the requests in flight leave room in their batches.
  [[nodiscard]] double EnginesForSlots(const ServiceProfile& service,
                                       const ServiceLoad& load) const;
  [[nodiscard]] Demand ComputeDemand(const ServiceProfile& service,
                                     int unmanaged, const Input& input,
                                     TimePoint now);
  /// Engines of each zone, and those that should serve there for `need`.
  [[nodiscard]] std::map<std::string, ZoneCounts> CountZones(
      const ServiceProfile& service, const PoolSizes& serving, double demand,
      TimePoint now) const;
  [[nodiscard]] Surplus ComputeSurplus(
      const std::map<std::string, ZoneCounts>& zones,
      const Demand& demand) const;
  /// Engines on demand that a zone can do without.
  [[nodiscard]] static int OnDemandToRelease(const ZoneCounts& zone,
                                             const ScalingProfile& scaling,
                                             const Surplus& surplus);
  /// Engines to have of each kind in each zone.
  [[nodiscard]] PoolSizes DesiredSizes(const ServiceProfile& service,
                                       const Input& input,
                                       const PoolSizes& serving, TimePoint now);
  /// Adds `missing` engines on demand, in the cheapest zones with room, when
  /// reclaimable ones cannot be had.
  void AddOnDemand(const ServiceProfile& service,
                   const std::map<std::string, ZoneCounts>& zones, int missing,
                   PoolSizes* desired) const;
  /// How the last order ended; both false when there was none.
  [[nodiscard]] bool WasRefused(const UpstreamPool& pool) const;
  [[nodiscard]] bool WasAccepted(const UpstreamPool& pool) const;
  /// Engines of an order that was accepted and may still be carried out.
  [[nodiscard]] int PendingCount(const UpstreamPool& pool, int serving,
                                 const ScalingProfile& scaling,
                                 TimePoint now) const;
  /// Notes how many serve of each order.
  void RecordServing(const PoolSizes& serving);
  [[nodiscard]] bool NeedsOrder(const UpstreamPool& pool, int desired,
                                int serving, const ScalingProfile& scaling,
                                TimePoint now) const;

  TimePoint started_at_;
  Strategies strategies_;
  TimePoint observing_since_;  ///< Without a gap.
  TimePoint polled_at_;        ///< For the next order.
  TimePoint list_grown_at_;  ///< When the list last grew, until it has settled.
  int max_unmanaged_ = 0;
  bool is_list_settled_ = false;
  bool in_flight_ = false;
  std::map<UpstreamPool, LastOrder> last_orders_;
  std::map<std::string, Peaks> peaks_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_AUTOSCALER_H_
