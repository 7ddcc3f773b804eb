#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/invariant.h"

namespace firmoor {
namespace {

constexpr double kHeadroom = 1.15;
constexpr double kOnDemandShare = 0.2;
// Time to start a replacement for a reclaimed VM and to fill its caches.
constexpr double kHoursLostPerReclaim = 0.1;
constexpr Duration kShrinkDelay{120'000};
constexpr Duration kInitialRefusalBackoff{30'000};
constexpr int kMaxRefusalDoublings = 5;

PlacementTarget TargetOf(const MarketOffer& offer) {
  return {offer.availability_zone, offer.market};
}

std::set<std::string> ZonesOf(const std::vector<MarketOffer>& offers) {
  std::set<std::string> zones;
  for (const auto& offer : offers) zones.insert(offer.availability_zone);
  return zones;
}

}  // namespace

double EffectivePrice(const MarketOffer& offer) {
  return offer.price_per_hour *
         (1 + offer.reclaims_per_hour * kHoursLostPerReclaim);
}

PlacementPlanner::PlacementPlanner(std::vector<MarketOffer> offers) {
  SetOffers(std::move(offers));
}

void PlacementPlanner::SetOffers(std::vector<MarketOffer> offers) {
  offers_ = std::move(offers);
  std::sort(offers_.begin(), offers_.end(),
            [](const MarketOffer& a, const MarketOffer& b) {
              return EffectivePrice(a) < EffectivePrice(b);
            });
}

void PlacementPlanner::OnRefused(const PlacementTarget& target, TimePoint now) {
  const int doublings = std::min(refusals_[target]++, kMaxRefusalDoublings);
  refused_until_[target] = now + kInitialRefusalBackoff * (1 << doublings);
}

std::vector<MarketOffer> PlacementPlanner::UsableOffers(TimePoint now) const {
  std::vector<MarketOffer> usable;
  for (const auto& offer : offers_) {
    const auto refused = refused_until_.find(TargetOf(offer));
    if (refused == refused_until_.end() || refused->second <= now) {
      usable.push_back(offer);
    }
  }
  return usable;
}

int PlacementPlanner::RequiredReplicas(
    const PlacementRequirements& requirements, std::size_t zones) const {
  FIRMOOR_PRECONDITION(requirements.requests_per_replica > 0,
                       "a replica has capacity");
  const double required =
      std::ceil(requirements.demand / requirements.requests_per_replica);
  // The demand must be met without any one zone.
  const double zone_redundant =
      zones > 1 ? std::ceil(required * static_cast<double>(zones) /
                            static_cast<double>(zones - 1))
                : required;
  const int wanted = static_cast<int>(
      std::max(zone_redundant, std::ceil(required * kHeadroom)));
  return std::clamp(wanted, requirements.min_replicas,
                    requirements.max_replicas);
}

int PlacementPlanner::ApplyShrinkDelay(int wanted, TimePoint now) {
  if (wanted >= current_total_) {
    shrinking_ = false;
    current_total_ = wanted;
    return current_total_;
  }
  if (!shrinking_) {
    shrinking_ = true;
    shrink_since_ = now;
    shrink_target_ = wanted;
  }
  shrink_target_ = std::max(shrink_target_, wanted);
  if (now - shrink_since_ >= kShrinkDelay) {
    current_total_ = shrink_target_;
    shrinking_ = false;
  }
  return current_total_;
}

PlacementCounts PlacementPlanner::Plan(
    const PlacementRequirements& requirements, TimePoint now) {
  const auto offers = UsableOffers(now);
  PlacementCounts counts;
  const auto zones = ZonesOf(offers);
  if (zones.empty()) return counts;
  const int total =
      ApplyShrinkDelay(RequiredReplicas(requirements, zones.size()), now);
  const int zone_limit = static_cast<int>(std::ceil(
      static_cast<double>(total) / static_cast<double>(zones.size())));
  std::map<std::string, int> in_zone;
  const auto allocate = [&](Market market, int wanted) {
    int allocated = 0;
    bool progress = true;
    while (allocated < wanted && progress) {
      progress = false;
      for (const auto& offer : offers) {
        auto& zone_count = in_zone[offer.availability_zone];
        if (offer.market != market || zone_count >= zone_limit) continue;
        ++zone_count;
        ++counts[TargetOf(offer)];
        ++allocated;
        progress = true;
        if (allocated == wanted) break;
        // Fill the cheapest zone first.
        if (zone_count < zone_limit) break;
      }
    }
    return allocated;
  };
  const int on_demand_min = static_cast<int>(std::ceil(total * kOnDemandShare));
  int allocated = allocate(Market::kOnDemand, on_demand_min);
  allocated += allocate(Market::kReclaimable, total - allocated);
  allocate(Market::kOnDemand, total - allocated);
  for (const auto& [zone, count] : in_zone) {
    FIRMOOR_INVARIANT(count <= zone_limit,
                      "no zone holds more than its share of the replicas");
  }
  return counts;
}

PlacementCounts PlacementPlanner::Step(const PlacementCounts& current,
                                       const PlacementCounts& wanted,
                                       int starts) {
  PlacementCounts next;
  for (const auto& [target, count] : wanted) {
    const auto found = current.find(target);
    const int current_count = found == current.end() ? 0 : found->second;
    const int added = std::clamp(count - current_count, 0, starts);
    starts -= added;
    next[target] = count > current_count ? current_count + added : count;
  }
  return next;
}

}  // namespace firmoor
