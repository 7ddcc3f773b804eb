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
// A reclaimed VM costs the time to start another and to fill its caches.
constexpr double kHoursLostToReclaim = 0.1;
constexpr Duration kShrinkAfter{120'000};
constexpr Duration kFirstRefusal{30'000};
constexpr int kMaxRefusalDoublings = 5;

PlacementTarget SlotOf(const MarketOffer& offer) {
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
         (1 + offer.reclaims_per_hour * kHoursLostToReclaim);
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

void PlacementPlanner::OnRefused(const PlacementTarget& slot, TimePoint now) {
  const int doublings = std::min(refusals_[slot]++, kMaxRefusalDoublings);
  refused_until_[slot] = now + kFirstRefusal * (1 << doublings);
}

std::vector<MarketOffer> PlacementPlanner::UsableOffers(TimePoint now) const {
  std::vector<MarketOffer> usable;
  for (const auto& offer : offers_) {
    const auto refused = refused_until_.find(SlotOf(offer));
    if (refused == refused_until_.end() || refused->second <= now) {
      usable.push_back(offer);
    }
  }
  return usable;
}

int PlacementPlanner::WantedTotal(const PlacementRequirements& need,
                                  std::size_t zones) const {
  FIRMOOR_PRECONDITION(need.requests_per_replica > 0,
                       "a replica bears some demand");
  const double bare = std::ceil(need.demand / need.requests_per_replica);
  // Without any one zone the bare need must be met.
  const double spread = zones > 1
                            ? std::ceil(bare * static_cast<double>(zones) /
                                        static_cast<double>(zones - 1))
                            : bare;
  const int wanted =
      static_cast<int>(std::max(spread, std::ceil(bare * kHeadroom)));
  return std::clamp(wanted, need.min_replicas, need.max_replicas);
}

int PlacementPlanner::Damped(int wanted, TimePoint now) {
  if (wanted >= total_) {
    shrinking_ = false;
    total_ = wanted;
    return total_;
  }
  if (!shrinking_) {
    shrinking_ = true;
    shrink_since_ = now;
    shrink_to_ = wanted;
  }
  shrink_to_ = std::max(shrink_to_, wanted);
  if (now - shrink_since_ >= kShrinkAfter) {
    total_ = shrink_to_;
    shrinking_ = false;
  }
  return total_;
}

PlacementCounts PlacementPlanner::Plan(const PlacementRequirements& need,
                                       TimePoint now) {
  const auto offers = UsableOffers(now);
  PlacementCounts counts;
  const auto zones = ZonesOf(offers);
  if (zones.empty()) return counts;
  const int total = Damped(WantedTotal(need, zones.size()), now);
  const int zone_limit = static_cast<int>(std::ceil(
      static_cast<double>(total) / static_cast<double>(zones.size())));
  std::map<std::string, int> in_zone;
  const auto buy = [&](Market market, int wanted) {
    int bought = 0;
    bool progress = true;
    while (bought < wanted && progress) {
      progress = false;
      for (const auto& offer : offers) {
        auto& here = in_zone[offer.availability_zone];
        if (offer.market != market || here >= zone_limit) continue;
        ++here;
        ++counts[SlotOf(offer)];
        ++bought;
        progress = true;
        if (bought == wanted) break;
        // The cheapest place is filled first.
        if (here < zone_limit) break;
      }
    }
    return bought;
  };
  const int floor = static_cast<int>(std::ceil(total * kOnDemandShare));
  int bought = buy(Market::kOnDemand, floor);
  bought += buy(Market::kReclaimable, total - bought);
  buy(Market::kOnDemand, total - bought);
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
  for (const auto& [slot, count] : wanted) {
    const auto found = current.find(slot);
    const int have = found == current.end() ? 0 : found->second;
    const int more = std::clamp(count - have, 0, starts);
    starts -= more;
    next[slot] = count > have ? have + more : count;
  }
  return next;
}

}  // namespace firmoor
