#ifndef FIRMOOR_PLACEMENT_PLANNER_H_
#define FIRMOOR_PLACEMENT_PLANNER_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Purchase option of a VM.
enum class Market { kReclaimable, kOnDemand };

/// Price and reclaim rate of VMs in one zone and market.
struct MarketOffer {
  std::string availability_zone;
  Market market = Market::kReclaimable;
  double price_per_hour = 0;
  double reclaims_per_hour = 0;  ///< Per VM, from history.

  bool operator==(const MarketOffer&) const = default;
};

/// A zone and market in which VMs are started.
struct PlacementTarget {
  std::string availability_zone;
  Market market = Market::kReclaimable;

  auto operator<=>(const PlacementTarget&) const = default;
};

/// VM counts by placement target.
using PlacementCounts = std::map<PlacementTarget, int>;

/// Requirements on the plan for one service.
struct PlacementRequirements {
  double demand = 0;                ///< In-flight requests over all daemons.
  double requests_per_replica = 1;  ///< Capacity of a replica.
  int min_replicas = 1;
  int max_replicas = 1;

  bool operator==(const PlacementRequirements&) const = default;
};

/// Computes VM counts from demand, prices and reclaim history.
///
/// After the loss of any one zone the remaining VMs still carry the demand. A
/// fifth of the VMs are on-demand ones. Counts grow immediately, but shrink
/// only after the demand has been lower for some time, so that delayed reports
/// do not cause oscillation. A target that refused a start is skipped with
/// exponential backoff. Performs no I/O.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(std::vector<MarketOffer> offers);

  void SetOffers(std::vector<MarketOffer> offers);

  /// Records that a start was refused.
  void OnRefused(const PlacementTarget& target, TimePoint now);

  /// Returns the VM counts that meet the requirements.
  PlacementCounts Plan(const PlacementRequirements& requirements,
                       TimePoint now);

  /// Returns the next step from `current` to `wanted`: all decreases, and at
  /// most `starts` additional VMs, since each one loads the weight store.
  static PlacementCounts Step(const PlacementCounts& current,
                              const PlacementCounts& wanted, int starts);

 private:
  [[nodiscard]] int RequiredReplicas(const PlacementRequirements& requirements,
                                     std::size_t zones) const;
  [[nodiscard]] std::vector<MarketOffer> UsableOffers(TimePoint now) const;
  /// Delays a decrease of the total.
  int ApplyShrinkDelay(int wanted, TimePoint now);

  std::vector<MarketOffer> offers_;
  std::map<PlacementTarget, TimePoint> refused_until_;
  std::map<PlacementTarget, int> refusals_;
  int current_total_ = 0;
  int shrink_target_ = 0;
  TimePoint shrink_since_;
  bool shrinking_ = false;
};

/// Price per hour of useful work, including the time lost to reclaims.
double EffectivePrice(const MarketOffer& offer);

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_PLANNER_H_
