#ifndef FIRMOOR_PLACEMENT_PLANNER_H_
#define FIRMOOR_PLACEMENT_PLANNER_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// How a VM is allocated.
enum class Market { kReclaimable, kOnDemand };

/// Where VMs of a service can be allocated.
struct MarketOffer {
  std::string availability_zone;
  Market market = Market::kReclaimable;
  double price_per_hour = 0;
  double reclaims_per_hour = 0;  ///< Of one VM, from history.

  bool operator==(const MarketOffer&) const = default;
};

/// A place in a plan.
struct PlacementTarget {
  std::string availability_zone;
  Market market = Market::kReclaimable;

  auto operator<=>(const PlacementTarget&) const = default;
};

/// VM counts by place.
using PlacementCounts = std::map<PlacementTarget, int>;

/// What a plan must reach for one service.
struct PlacementRequirements {
  double demand = 0;  ///< Requests in work, over all daemons.
  double requests_per_replica =
      1;  ///< Requests in work that one replica bears.
  int min_replicas = 1;
  int max_replicas = 1;

  bool operator==(const PlacementRequirements&) const = default;
};

/// Turns demand, prices and history into VM counts.
///
/// The counts survive the loss of any one zone: what is left bears the
/// demand. A fifth is allocated on demand. Growth follows at once, shrinking
/// only when it was possible for a while, so that lagging reports do not make
/// it oscillate. A place that refused a start is left out for a while. Pure.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(std::vector<MarketOffer> offers);

  void SetOffers(std::vector<MarketOffer> offers);

  /// A start was refused there.
  void OnRefused(const PlacementTarget& target, TimePoint now);

  /// Counts for the requirements; `starting` VMs fetch weights already.
  PlacementCounts Plan(const PlacementRequirements& requirements,
                       TimePoint now);

  /// The next step from `current` to `wanted`: at most `starts` added VMs, so
  /// that the weight store's rate is kept; all decreases.
  static PlacementCounts Step(const PlacementCounts& current,
                              const PlacementCounts& wanted, int starts);

 private:
  [[nodiscard]] int RequiredReplicas(const PlacementRequirements& requirements,
                                     std::size_t zones) const;
  [[nodiscard]] std::vector<MarketOffer> UsableOffers(TimePoint now) const;
  int ApplyShrinkDelay(int wanted, TimePoint now);

  std::vector<MarketOffer> offers_;
  std::map<PlacementTarget, TimePoint> refused_until_;
  std::map<PlacementTarget, int> refusals_;
  int current_total_ = 0;
  int shrink_target_ = 0;
  TimePoint shrink_since_;
  bool shrinking_ = false;
};

/// Price of an hour of work there, with the work lost to reclaims.
double EffectivePrice(const MarketOffer& offer);

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_PLANNER_H_
