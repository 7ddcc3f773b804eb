#include "gateway/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

// Prompt tokens per second, cached or not, that one engine serves with good
// latency: half of its uncached prefill rate, see docs/PLATFORM.md.
constexpr double kTokensPerSPerEngine = 28'000;
// A demand peak is held for this time before the pools shrink, so that they do
// not shrink between the bursts of a longer traffic wave.
constexpr Duration kPeakHoldTime{25'000};
// Shorter for on-demand engines, since one costs as much as several reclaimable
// engines, but longer than an engine takes to start.
constexpr Duration kOnDemandPeakHoldTime{8'000};
// A new coordinator keeps the engines that serve until it has observed the
// demand for this time.
constexpr Duration kWarmUpTime{12'000};
// After a longer pause between polls, several poll periods, the coordinator is
// taken to have been unable to act and its daemons to have been unable to
// report.
constexpr Duration kMaxPollGap{2'000};
// Upstreams that start together are listed one by one, up to 500 ms apart; the
// list counts as complete when it has not grown for this time.
constexpr Duration kListSettleTime{1'000};
// The list counts as complete after this time even if it keeps growing, so
// that engines can be released.
constexpr Duration kMaxListSettleTime{5'000};
// A refused order is repeated after this time.
constexpr Duration kRefusalRetryDelay{2'500};
// An accepted order whose engines have not been listed is repeated after their
// start time and this time.
constexpr Duration kPendingGracePeriod{4'000};
// Part of the slots that may be occupied. Load is uneven, so requests queue at
// some engines long before all are full, and prefill slows the running requests
// down; docs/DECISIONS.md has the results for 0.8.
constexpr double kTargetSlotUtilization = 0.6;
// On-demand engines are added when fewer engines than this part of the demand
// serve: the next zone may be reclaimed before the first one has capacity
// again.
constexpr double kMinimumFraction = 0.7;
// Part of the demand that must be covered after the next zone is reclaimed and
// until replacements have started: at twice their load engines still answer,
// only later.
constexpr double kReclaimReserveFraction = 0.5;

/// Engines in each zone so that the demand is met when any one zone is lost.
double EnginesPerZone(double demand, std::size_t zones) {
  return demand / std::max(1.0, static_cast<double>(zones) - 1);
}

/// The demand for which as many engines would be ordered as serve now.
double ImpliedDemand(const ScalingProfile& scaling, double serving) {
  const auto zones = static_cast<double>(scaling.zone_prices.size());
  return zones > 1 ? serving * (zones - 1) / zones : serving;
}

/// Zones in ascending order of price.
std::vector<std::string> ZonesByPrice(const ScalingProfile& scaling) {
  std::vector<std::string> zones;
  for (const auto& [zone, price] : scaling.zone_prices) zones.push_back(zone);
  std::stable_sort(zones.begin(), zones.end(),
                   [&](const std::string& a, const std::string& b) {
                     return scaling.zone_prices.at(a) <
                            scaling.zone_prices.at(b);
                   });
  return zones;
}

}  // namespace

Autoscaler::Autoscaler(TimePoint started_at, Strategies strategies)
    : started_at_(started_at),
      strategies_(strategies),
      observing_since_(started_at),
      polled_at_(started_at),
      list_grown_at_(started_at) {}

void Autoscaler::HandlePollGap(TimePoint now) {
  const auto gap = now - std::exchange(polled_at_, now);
  if (gap <= kMaxPollGap) return;
  observing_since_ = now;
  for (auto& [service, peaks] : peaks_) {
    peaks.reclaimable.at += gap;
    peaks.on_demand.at += gap;
  }
}

PoolSizes Autoscaler::CountServing(const Input& input) {
  PoolSizes counts;
  for (const auto& [id, entry] : input.upstreams) {
    if (entry.leaving) continue;
    ++counts[{entry.service, entry.availability_zone, entry.reclaimable}];
  }
  return counts;
}

int Autoscaler::CountUnmanaged(const std::string& service,
                               const PoolSizes& serving) const {
  int unmanaged = 0;
  for (const auto& [pool, count] : serving) {
    const bool own = pool.reclaimable && !last_orders_.empty();
    if (pool.service == service && !own) unmanaged += count;
  }
  return unmanaged;
}

void Autoscaler::Peak::Update(double value, Duration hold_time, TimePoint now) {
  if (value >= demand || now - at > hold_time) *this = {value, now};
}

double Autoscaler::EnginesForSlots(const ServiceProfile& service,
                                   const ServiceLoad& load) const {
  if (!strategies_.engines_for_slots || !service.engine) return 0;
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, service.engine->slots));
  return load.in_flight / (slots * kTargetSlotUtilization);
}

Autoscaler::Demand Autoscaler::ComputeDemand(const ServiceProfile& service,
                                             int unmanaged, const Input& input,
                                             TimePoint now) {
  const auto found = input.loads.find(service.name);
  const auto load = found == input.loads.end() ? ServiceLoad{} : found->second;
  const double demand = load.tokens_per_s / kTokensPerSPerEngine;
  auto& peaks = peaks_[service.name];
  peaks.slots.Update(EnginesForSlots(service, load), kOnDemandPeakHoldTime,
                     now);
  if (!is_list_settled_) {
    const double implied = ImpliedDemand(*service.scaling, unmanaged);
    peaks.reclaimable = {std::max(peaks.reclaimable.demand, implied), now};
    peaks.on_demand = {std::max(peaks.on_demand.demand, implied), now};
  }
  const bool is_warming_up = now - observing_since_ < kWarmUpTime;
  peaks.reclaimable.Update(
      is_warming_up ? std::max(demand, peaks.reclaimable.demand) : demand,
      kPeakHoldTime, now);
  peaks.on_demand.Update(
      is_warming_up ? std::max(demand, peaks.on_demand.demand) : demand,
      kOnDemandPeakHoldTime, now);
  return {std::max(peaks.reclaimable.demand, peaks.slots.demand),
          peaks.on_demand.demand, peaks.slots.demand, is_warming_up};
}

int Autoscaler::PendingCount(const UpstreamPool& pool, int serving,
                             const ScalingProfile& scaling,
                             TimePoint now) const {
  const auto found = last_orders_.find(pool);
  if (found == last_orders_.end() || found->second.refused) return 0;
  const bool overdue =
      now - found->second.at > scaling.start_time + kPendingGracePeriod;
  return overdue ? 0 : std::max(0, found->second.count - serving);
}

bool Autoscaler::WasRefused(const UpstreamPool& pool) const {
  const auto found = last_orders_.find(pool);
  return found != last_orders_.end() && found->second.refused;
}

bool Autoscaler::WasAccepted(const UpstreamPool& pool) const {
  const auto found = last_orders_.find(pool);
  return found != last_orders_.end() && !found->second.refused;
}

int Autoscaler::OnDemandToRelease(const ZoneCounts& zone,
                                  const ScalingProfile& scaling,
                                  const Surplus& surplus) {
  const int releasable =
      zone.on_demand - std::max(0, scaling.min_per_zone - zone.reclaimable);
  if (releasable <= 0) return 0;
  // During the warm-up time the demand is uncertain, so on-demand engines stay
  // until the reclaimable ones serve.
  const bool waits = surplus.is_warming_up && zone.reclaimable < zone.target;
  const int released = waits ? 0 : std::clamp(surplus.total, 0, releasable);
  // Both markets share the zone's limit. Where on-demand engines leave no room,
  // some are released first so that cheaper reclaimable ones can replace them.
  const bool makes_room =
      zone.is_available && zone.reclaimable >= zone.reclaimable_limit;
  const int shortfall =
      std::clamp(zone.target - zone.reclaimable, 0, releasable);
  return makes_room
             ? std::max(released, std::clamp(surplus.minimum, 0, shortfall))
             : released;
}

std::map<std::string, Autoscaler::ZoneCounts> Autoscaler::CountZones(
    const ServiceProfile& service, const PoolSizes& serving, double demand,
    TimePoint now) const {
  const auto& scaling = *service.scaling;
  const auto serving_at = [&](const std::string& zone, bool reclaimable) {
    const auto found = serving.find({service.name, zone, reclaimable});
    return found == serving.end() ? 0 : found->second;
  };
  std::size_t available_zones = 0;
  for (const auto& [zone, price] : scaling.zone_prices) {
    if (!WasRefused({service.name, zone, true})) ++available_zones;
  }
  std::map<std::string, ZoneCounts> zones;
  for (const auto& [zone, price] : scaling.zone_prices) {
    const UpstreamPool pool{service.name, zone, true};
    // The share of a zone that was refused is spread over the others. The
    // refused zone itself keeps the target that it has when all are available.
    const auto zone_count =
        WasRefused(pool) ? scaling.zone_prices.size() : available_zones;
    auto& counts = zones[zone];
    counts.on_demand = serving_at(zone, false);
    counts.pending = PendingCount({service.name, zone, false}, counts.on_demand,
                                  scaling, now);
    counts.reclaimable = serving_at(zone, true);
    counts.target = std::clamp(
        static_cast<int>(std::ceil(EnginesPerZone(demand, zone_count))),
        scaling.min_per_zone, scaling.max_per_zone);
    counts.reclaimable_limit =
        std::max(0, scaling.max_per_zone - counts.on_demand);
    counts.is_available = WasAccepted(pool);
  }
  return zones;
}

Autoscaler::Surplus Autoscaler::ComputeSurplus(
    const std::map<std::string, ZoneCounts>& zones,
    const Demand& demand) const {
  const double engines = demand.on_demand;
  int serving_count = 0;
  int pending = 0;
  int most_in_zone = 0;
  for (const auto& [zone, counts] : zones) {
    serving_count += counts.on_demand + counts.reclaimable;
    pending += counts.pending;
    most_in_zone = std::max(most_in_zone, counts.reclaimable);
  }
  // Replacements start too late when the next zone is reclaimed, so part of the
  // demand must be covered without it.
  const int after_reclaim =
      serving_count - most_in_zone -
      static_cast<int>(std::ceil(engines * kReclaimReserveFraction));
  const auto surplus_over = [&](double part) {
    const double minimum = std::max(engines * part, demand.slots);
    return serving_count - static_cast<int>(std::ceil(minimum));
  };
  const int total = surplus_over(1);
  const int minimum = surplus_over(kMinimumFraction);
  if (!strategies_.reclaim_reserve) {
    return {total, minimum, pending, demand.is_warming_up};
  }
  return {std::min(total, after_reclaim), std::min(minimum, after_reclaim),
          pending, demand.is_warming_up};
}

PoolSizes Autoscaler::DesiredSizes(const ServiceProfile& service,
                                   const Input& input, const PoolSizes& serving,
                                   TimePoint now) {
  const auto& scaling = *service.scaling;
  const auto demand =
      ComputeDemand(service, CountUnmanaged(service.name, serving), input, now);
  const auto zones = CountZones(service, serving, demand.reclaimable, now);
  auto surplus = ComputeSurplus(zones, demand);
  const int missing = -(surplus.minimum + surplus.pending);
  const bool all_targets_met =
      std::all_of(zones.begin(), zones.end(), [](const auto& zone) {
        return zone.second.reclaimable >= zone.second.target;
      });
  PoolSizes desired;
  const auto by_price = ZonesByPrice(scaling);
  for (auto zone = by_price.rbegin(); zone != by_price.rend(); ++zone) {
    const auto& counts = zones.at(*zone);
    const int released = OnDemandToRelease(counts, scaling, surplus);
    surplus.total -= released;
    surplus.minimum -= released;
    desired[{service.name, *zone, false}] =
        counts.on_demand + counts.pending - released;
    // Reclaimable engines are not released while another zone is still below
    // its target.
    const int target = all_targets_met
                           ? counts.target
                           : std::max(counts.target, counts.reclaimable);
    // Without room, the order only probes whether capacity is available.
    desired[{service.name, *zone, true}] =
        counts.reclaimable_limit > 0
            ? std::min(target, counts.reclaimable_limit)
            : target;
  }
  AddOnDemand(service, zones, missing, &desired);
  return desired;
}

void Autoscaler::AddOnDemand(const ServiceProfile& service,
                             const std::map<std::string, ZoneCounts>& zones,
                             int missing, PoolSizes* desired) const {
  // While reclaimable capacity is available, the reclaimable engines already
  // ordered start as soon as on-demand engines would.
  const bool some_refused =
      std::any_of(zones.begin(), zones.end(), [&](const auto& zone) {
        return WasRefused({service.name, zone.first, true});
      });
  if (!some_refused) return;
  for (const auto& zone : ZonesByPrice(*service.scaling)) {
    if (missing <= 0) return;
    auto& count = (*desired)[{service.name, zone, false}];
    const int free =
        service.scaling->max_per_zone - zones.at(zone).reclaimable - count;
    const int added = std::clamp(free, 0, missing);
    count += added;
    missing -= added;
  }
}

bool Autoscaler::NeedsOrder(const UpstreamPool& pool, int desired, int serving,
                            const ScalingProfile& scaling,
                            TimePoint now) const {
  const auto found = last_orders_.find(pool);
  if (found == last_orders_.end() || found->second.count < 0) {
    return desired != serving;
  }
  const auto& last = found->second;
  if (last.refused) {
    return now - last.at >= kRefusalRetryDelay && desired != serving;
  }
  if (last.count != desired) return true;
  // Engines were lost since the order; only another order can replace them or
  // show that capacity is not available.
  if (serving < std::min(last.max_serving, desired)) return true;
  const bool overdue =
      now - last.at > scaling.start_time + kPendingGracePeriod &&
      serving < desired;
  return overdue;
}

void Autoscaler::RecordServing(const PoolSizes& serving) {
  for (auto& [pool, order] : last_orders_) {
    const auto found = serving.find(pool);
    if (found != serving.end()) {
      order.max_serving = std::max(order.max_serving, found->second);
    }
  }
}

void Autoscaler::UpdateListSettled(const Input& input, const PoolSizes& serving,
                                   TimePoint now) {
  if (is_list_settled_) return;
  int unmanaged = 0;
  for (const auto& service : input.services) {
    unmanaged += CountUnmanaged(service.name, serving);
  }
  if (unmanaged > max_unmanaged_) {
    max_unmanaged_ = unmanaged;
    list_grown_at_ = now;
  }
  is_list_settled_ = now - list_grown_at_ >= kListSettleTime ||
                     now - started_at_ >= kMaxListSettleTime;
}

std::optional<UpstreamOrder> Autoscaler::Next(const Input& input,
                                              TimePoint now) {
  HandlePollGap(now);
  if (in_flight_) return std::nullopt;
  const auto serving = CountServing(input);
  UpdateListSettled(input, serving, now);
  RecordServing(serving);
  for (const auto& service : input.services) {
    if (!service.scaling) continue;
    const auto desired = DesiredSizes(service, input, serving, now);
    // Reclaimable pools first, so that they can replace on-demand engines.
    for (const bool reclaimable : {true, false}) {
      for (const auto& [pool, count] : desired) {
        if (pool.reclaimable != reclaimable) continue;
        const auto found = serving.find(pool);
        const int current = found == serving.end() ? 0 : found->second;
        // While the list may be incomplete, only reclaimable pools may grow.
        if (!is_list_settled_ && (!reclaimable || count <= current)) continue;
        if (!NeedsOrder(pool, count, current, *service.scaling, now)) continue;
        in_flight_ = true;
        return UpstreamOrder{pool.service, pool.availability_zone,
                             pool.reclaimable, count};
      }
    }
  }
  return std::nullopt;
}

void Autoscaler::OnOrdered(const UpstreamOrder& order, CloudStatus status,
                           TimePoint now) {
  in_flight_ = false;
  auto& ordered =
      last_orders_[{order.service, order.availability_zone, order.reclaimable}];
  ordered.count = status == CloudStatus::kUnavailable ? -1 : order.count;
  ordered.refused = status != CloudStatus::kOk;
  ordered.at = now;
  ordered.max_serving = 0;
}

}  // namespace firmoor
