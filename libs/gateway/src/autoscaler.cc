#include "gateway/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

// Prompt tokens a second, cached or not, that one engine answers well: half of
// what it reads without a cache, from the trials in docs/PLATFORM.md.
constexpr double kTokensPerEngineS = 28'000;
// Demand is believed low only after this time without a higher one: a wave of
// traffic lasts longer than a burst.
constexpr Duration kPeakMemory{25'000};
// The same for engines on demand, which cost as much as several reclaimable
// ones: they follow a burst once it has lasted longer than they take to start.
constexpr Duration kOnDemandPeakMemory{8'000};
// A new holder takes what serves as enough until it has seen some demand.
constexpr Duration kFirstSight{12'000};
// A duty that was not asked for longer than this could not act, and its daemons
// could not report: several steps of the coordinator.
constexpr Duration kLongestGap{2'000};
// Upstreams that start together are listed one after the other, with pauses of
// up to half a second; a list that grew no more for this time is whole.
constexpr Duration kListSettles{1'000};
// Engines go after this time also by a list that keeps growing.
constexpr Duration kLongestSettling{5'000};
// A market that refused is asked again after this time.
constexpr Duration kDryTime{2'500};
// Orders that were accepted but did not show are repeated after this time
// beyond the start of an upstream.
constexpr Duration kRepeatAfter{4'000};
// Part of the slots that may be taken: load is uneven, so that requests queue
// at some engines long before all are full, and prompts that are read slow the
// rest down (0.8 was tried, see docs/DECISIONS.md).
constexpr double kSlotsTaken = 0.6;
// Part of the need below which engines are bought on demand: the next zone may
// be reclaimed before the first one's engines can be had again.
constexpr double kLeastPart = 0.7;
// Part of the need that must be left when the next zone is reclaimed, until
// others have started: engines at twice their load still answer, late.
constexpr double kReservePart = 0.5;

/// Engines in each of `zones`, so that the need is met without any one of them.
double PerZone(double need, std::size_t zones) {
  return need / std::max(1.0, static_cast<double>(zones) - 1);
}

/// The need for which as many engines would be ordered as serve now.
double StartNeed(const ScalingProfile& scaling, double serving) {
  const auto zones = static_cast<double>(scaling.zone_prices.size());
  return zones > 1 ? serving * (zones - 1) / zones : serving;
}

/// Zones, the cheapest first.
std::vector<std::string> ByPrice(const ScalingProfile& scaling) {
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
      sees_since_(started_at),
      asked_at_(started_at),
      grown_at_(started_at) {}

void Autoscaler::NoteGap(TimePoint now) {
  const auto gap = now - std::exchange(asked_at_, now);
  if (gap <= kLongestGap) return;
  sees_since_ = now;
  for (auto& [service, peaks] : peaks_) {
    peaks.reclaimable.at += gap;
    peaks.on_demand.at += gap;
  }
}

PoolSizes Autoscaler::Serving(const Input& input) {
  PoolSizes counts;
  for (const auto& [id, entry] : input.upstreams) {
    if (entry.leaving) continue;
    ++counts[{entry.service, entry.availability_zone, entry.reclaimable}];
  }
  return counts;
}

int Autoscaler::Given(const std::string& service,
                      const PoolSizes& serving) const {
  int given = 0;
  for (const auto& [subject, count] : serving) {
    const bool own = subject.reclaimable && !ordered_.empty();
    if (subject.service == service && !own) given += count;
  }
  return given;
}

void Autoscaler::Peak::Note(double seen, Duration memory, TimePoint now) {
  if (seen >= need || now - at > memory) *this = {seen, now};
}

double Autoscaler::SlotsNeed(const ServiceProfile& service,
                             const ServiceLoad& load) const {
  if (!strategies_.engines_for_slots || !service.engine) return 0;
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, service.engine->slots));
  return load.in_flight / (slots * kSlotsTaken);
}

Autoscaler::Needs Autoscaler::Need(const ServiceProfile& service, int given,
                                   const Input& input, TimePoint now) {
  const auto found = input.loads.find(service.name);
  const auto load = found == input.loads.end() ? ServiceLoad{} : found->second;
  const double need = load.tokens_per_s / kTokensPerEngineS;
  auto& peaks = peaks_[service.name];
  peaks.slots.Note(SlotsNeed(service, load), kOnDemandPeakMemory, now);
  if (!settled_) {
    const double start = StartNeed(*service.scaling, given);
    peaks.reclaimable = {std::max(peaks.reclaimable.need, start), now};
    peaks.on_demand = {std::max(peaks.on_demand.need, start), now};
  }
  const bool knows_little = now - sees_since_ < kFirstSight;
  peaks.reclaimable.Note(
      knows_little ? std::max(need, peaks.reclaimable.need) : need, kPeakMemory,
      now);
  peaks.on_demand.Note(
      knows_little ? std::max(need, peaks.on_demand.need) : need,
      kOnDemandPeakMemory, now);
  return {std::max(peaks.reclaimable.need, peaks.slots.need),
          peaks.on_demand.need, peaks.slots.need, knows_little};
}

int Autoscaler::Starting(const UpstreamPool& subject, int serving,
                         const ScalingProfile& scaling, TimePoint now) const {
  const auto found = ordered_.find(subject);
  if (found == ordered_.end() || found->second.refused) return 0;
  const bool overdue =
      now - found->second.at > scaling.start_time + kRepeatAfter;
  return overdue ? 0 : std::max(0, found->second.count - serving);
}

bool Autoscaler::WasRefused(const UpstreamPool& subject) const {
  const auto found = ordered_.find(subject);
  return found != ordered_.end() && found->second.refused;
}

bool Autoscaler::IsAccepted(const UpstreamPool& subject) const {
  const auto found = ordered_.find(subject);
  return found != ordered_.end() && !found->second.refused;
}

int Autoscaler::GoingOnDemand(const ZoneCounts& zone,
                              const ScalingProfile& scaling,
                              const Spares& spares) {
  const int surplus =
      zone.on_demand - std::max(0, scaling.min_per_zone - zone.reclaimable);
  if (surplus <= 0) return 0;
  // While little is known of the demand, reclaimable ones must serve first.
  const bool waits = spares.knows_little && zone.reclaimable < zone.aim;
  const int going = waits ? 0 : std::clamp(spares.whole, 0, surplus);
  // Both kinds share the zone's limit: where those on demand leave no room,
  // some go first, so that cheaper ones can take their place.
  const bool makes_room = zone.can_be_had && zone.reclaimable >= zone.room;
  const int lacking = std::clamp(zone.aim - zone.reclaimable, 0, surplus);
  return makes_room ? std::max(going, std::clamp(spares.least, 0, lacking))
                    : going;
}

std::map<std::string, Autoscaler::ZoneCounts> Autoscaler::CountZones(
    const ServiceProfile& service, const PoolSizes& serving, double need,
    TimePoint now) const {
  const auto& scaling = *service.scaling;
  const auto serving_at = [&](const std::string& zone, bool reclaimable) {
    const auto found = serving.find({service.name, zone, reclaimable});
    return found == serving.end() ? 0 : found->second;
  };
  std::size_t open = 0;
  for (const auto& [zone, price] : scaling.zone_prices) {
    if (!WasRefused({service.name, zone, true})) ++open;
  }
  std::map<std::string, ZoneCounts> zones;
  for (const auto& [zone, price] : scaling.zone_prices) {
    const UpstreamPool subject{service.name, zone, true};
    // While a zone has none, the others carry its part; it is asked for what
    // it will have again.
    const auto sharing =
        WasRefused(subject) ? scaling.zone_prices.size() : open;
    auto& counts = zones[zone];
    counts.on_demand = serving_at(zone, false);
    counts.starting =
        Starting({service.name, zone, false}, counts.on_demand, scaling, now);
    counts.reclaimable = serving_at(zone, true);
    counts.aim = std::clamp(static_cast<int>(std::ceil(PerZone(need, sharing))),
                            scaling.min_per_zone, scaling.max_per_zone);
    counts.room = std::max(0, scaling.max_per_zone - counts.on_demand);
    counts.can_be_had = IsAccepted(subject);
  }
  return zones;
}

Autoscaler::Spares Autoscaler::CountSpares(
    const std::map<std::string, ZoneCounts>& zones, const Needs& needs) const {
  const double need = needs.on_demand;
  int total = 0;
  int starting = 0;
  int most_in_zone = 0;
  for (const auto& [zone, counts] : zones) {
    total += counts.on_demand + counts.reclaimable;
    starting += counts.starting;
    most_in_zone = std::max(most_in_zone, counts.reclaimable);
  }
  // Others would start too late when the next zone is reclaimed.
  const int then =
      total - most_in_zone - static_cast<int>(std::ceil(need * kReservePart));
  const auto beyond = [&](double part) {
    const double least = std::max(need * part, needs.slots);
    return total - static_cast<int>(std::ceil(least));
  };
  const int whole = beyond(1);
  const int least = beyond(kLeastPart);
  if (!strategies_.reclaim_reserve) {
    return {whole, least, starting, needs.knows_little};
  }
  return {std::min(whole, then), std::min(least, then), starting,
          needs.knows_little};
}

PoolSizes Autoscaler::Wanted(const ServiceProfile& service, const Input& input,
                             const PoolSizes& serving, TimePoint now) {
  const auto& scaling = *service.scaling;
  const auto need = Need(service, Given(service.name, serving), input, now);
  const auto zones = CountZones(service, serving, need.reclaimable, now);
  auto spares = CountSpares(zones, need);
  const int missing = -(spares.least + spares.starting);
  const bool all_serve =
      std::all_of(zones.begin(), zones.end(), [](const auto& zone) {
        return zone.second.reclaimable >= zone.second.aim;
      });
  PoolSizes wanted;
  const auto by_price = ByPrice(scaling);
  for (auto zone = by_price.rbegin(); zone != by_price.rend(); ++zone) {
    const auto& counts = zones.at(*zone);
    const int going = GoingOnDemand(counts, scaling, spares);
    spares.whole -= going;
    spares.least -= going;
    wanted[{service.name, *zone, false}] =
        counts.on_demand + counts.starting - going;
    // None go while those of another zone are still starting.
    const int aim =
        all_serve ? counts.aim : std::max(counts.aim, counts.reclaimable);
    // Without room the order only shows whether there are any to be had.
    wanted[{service.name, *zone, true}] =
        counts.room > 0 ? std::min(aim, counts.room) : aim;
  }
  BuyOnDemand(service, zones, missing, &wanted);
  return wanted;
}

void Autoscaler::BuyOnDemand(const ServiceProfile& service,
                             const std::map<std::string, ZoneCounts>& zones,
                             int missing, PoolSizes* wanted) const {
  // Where reclaimable ones can be had, those that were ordered start as soon.
  const bool some_refused =
      std::any_of(zones.begin(), zones.end(), [&](const auto& zone) {
        return WasRefused({service.name, zone.first, true});
      });
  if (!some_refused) return;
  for (const auto& zone : ByPrice(*service.scaling)) {
    if (missing <= 0) return;
    auto& count = (*wanted)[{service.name, zone, false}];
    const int room =
        service.scaling->max_per_zone - zones.at(zone).reclaimable - count;
    const int more = std::clamp(room, 0, missing);
    count += more;
    missing -= more;
  }
}

bool Autoscaler::IsDue(const UpstreamPool& subject, int wanted, int serving,
                       const ScalingProfile& scaling, TimePoint now) const {
  const auto found = ordered_.find(subject);
  if (found == ordered_.end() || found->second.count < 0) {
    return wanted != serving;
  }
  const auto& last = found->second;
  if (last.refused) return now - last.at >= kDryTime && wanted != serving;
  if (last.count != wanted) return true;
  // Some have gone since: only another order tells whether more can be had.
  if (serving < std::min(last.served, wanted)) return true;
  const bool overdue =
      now - last.at > scaling.start_time + kRepeatAfter && serving < wanted;
  return overdue;
}

void Autoscaler::NoteServing(const PoolSizes& serving) {
  for (auto& [subject, order] : ordered_) {
    const auto found = serving.find(subject);
    if (found != serving.end()) {
      order.served = std::max(order.served, found->second);
    }
  }
}

void Autoscaler::Settle(const Input& input, const PoolSizes& serving,
                        TimePoint now) {
  if (settled_) return;
  int given = 0;
  for (const auto& service : input.services) {
    given += Given(service.name, serving);
  }
  if (given > most_given_) {
    most_given_ = given;
    grown_at_ = now;
  }
  settled_ =
      now - grown_at_ >= kListSettles || now - started_at_ >= kLongestSettling;
}

std::optional<UpstreamOrder> Autoscaler::Next(const Input& input,
                                              TimePoint now) {
  NoteGap(now);
  if (in_flight_) return std::nullopt;
  const auto serving = Serving(input);
  Settle(input, serving, now);
  NoteServing(serving);
  for (const auto& service : input.services) {
    if (!service.scaling) continue;
    const auto wanted = Wanted(service, input, serving, now);
    // More of the reclaimable ones first, so that they can replace others.
    for (const bool reclaimable : {true, false}) {
      for (const auto& [subject, count] : wanted) {
        if (subject.reclaimable != reclaimable) continue;
        const auto found = serving.find(subject);
        const int have = found == serving.end() ? 0 : found->second;
        // Nothing goes by a list that may not be whole.
        if (!settled_ && (!reclaimable || count <= have)) continue;
        if (!IsDue(subject, count, have, *service.scaling, now)) continue;
        in_flight_ = true;
        return UpstreamOrder{subject.service, subject.availability_zone,
                             subject.reclaimable, count};
      }
    }
  }
  return std::nullopt;
}

void Autoscaler::OnOrdered(const UpstreamOrder& order, CloudStatus status,
                           TimePoint now) {
  in_flight_ = false;
  auto& ordered =
      ordered_[{order.service, order.availability_zone, order.reclaimable}];
  ordered.count = status == CloudStatus::kUnavailable ? -1 : order.count;
  ordered.refused = status != CloudStatus::kOk;
  ordered.at = now;
  ordered.served = 0;
}

}  // namespace firmoor
