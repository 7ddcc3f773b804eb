#include "routing/upstream_picker.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"

namespace firmoor {
namespace {

// Engines compared per request. Two random choices balance most of the load
// (Mitzenmacher) and a third one the rest; each costs a probe.
constexpr std::size_t kEngineCandidates = 3;
// Slot utilization below which engines hardly ever queue, even if some get
// several times the mean load.
constexpr double kMinProbeUtilization = 0.25;
// Chunks remembered per upstream: over 16 times as many as fill its cache.
constexpr std::size_t kChunksRemembered = 1'024;
// Consecutive failures that a healthy upstream hardly ever shows: if a seventh
// of all requests fail anyway, one run in 2,000.
constexpr int kFailuresToEject = 4;
constexpr Duration kFirstEjection{1'000};
constexpr int kMaxEjectionDoublings = 3;
// Rate-limited upstreams whose demand a request counts for: in a service where
// all announce limits, a daemon asks for permits of those that it prefers.
constexpr std::size_t kMaxWantedPerRequest = 3;
// Limit of this daemon's requests at one plain upstream, as a multiple of its
// slots.
constexpr std::int64_t kPlainOvercommitFactor = 2;

UpstreamSlots::Upstream SlotViewOf(const UpstreamEntry& entry) {
  return {entry.id, entry.born_ms, entry.service, entry.slots};
}

}  // namespace

void UpstreamPicker::ChunkHistory::Touch(std::uint64_t chunk) {
  const auto found = index.find(chunk);
  if (found != index.end()) {
    order.splice(order.begin(), order, found->second);
    return;
  }
  order.push_front(chunk);
  index.emplace(chunk, order.begin());
  if (order.size() <= kChunksRemembered) return;
  index.erase(order.back());
  order.pop_back();
}

bool UpstreamPicker::ChunkHistory::Contains(std::uint64_t chunk) const {
  return index.contains(chunk);
}

UpstreamPicker::UpstreamPicker(Location location, Options options)
    : location_(std::move(location)), options_(options) {}

void UpstreamPicker::SetUpstreams(
    const std::map<std::string, UpstreamEntry>& entries) {
  std::erase_if(upstreams_, [&](const auto& held) {
    const bool gone = !entries.contains(held.first);
    if (gone) {
      loads_.Remove(held.first);
      capacity_.Remove(held.second.entry.service, held.first);
    }
    return gone;
  });
  for (const auto& [id, entry] : entries) {
    auto& upstream = upstreams_[id];
    if (upstream.entry.born_ms != entry.born_ms) {
      capacity_.Remove(upstream.entry.service, id);
      upstream = {};
      loads_.Remove(id);
    }
    upstream.entry = entry;
  }
}

void UpstreamPicker::SetServices(const std::vector<ServiceProfile>& services) {
  services_.clear();
  for (const auto& service : services) services_.emplace(service.name, service);
}

bool UpstreamPicker::IsRemote(const UpstreamEntry& entry) const {
  const auto own = location_.regions.find(location_.availability_zone);
  const auto other = location_.regions.find(entry.availability_zone);
  if (own == location_.regions.end() || other == location_.regions.end()) {
    return entry.availability_zone != location_.availability_zone;
  }
  return own->second != other->second;
}

std::int64_t UpstreamPicker::CeilingOf(const UpstreamEntry& entry) const {
  const auto slots = std::max<std::int64_t>(1, entry.slots);
  return IsEngine(entry.service) ? slots : slots * kPlainOvercommitFactor;
}

bool UpstreamPicker::HasCapacity(const Upstream& upstream) const {
  return upstream.in_flight < CeilingOf(upstream.entry);
}

void UpstreamPicker::Pause(const std::string& id, std::int64_t born_ms,
                           TimePoint until, TimePoint now) {
  std::erase_if(pauses_,
                [now](const auto& pause) { return pause.second.until <= now; });
  auto& pause = pauses_[id];
  if (pause.born_ms != born_ms) pause = {born_ms, until};
  pause.until = std::max(pause.until, until);
}

std::optional<TimePoint> UpstreamPicker::PausedUntil(const UpstreamEntry& entry,
                                                     TimePoint now) const {
  const auto found = pauses_.find(entry.id);
  const bool is_paused = found != pauses_.end() &&
                         found->second.born_ms == entry.born_ms &&
                         now < found->second.until;
  return is_paused ? std::optional(found->second.until) : std::nullopt;
}

std::optional<TimePoint> UpstreamPicker::NextAvailableTime(
    const std::string& service, TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || upstream.entry.leaving) continue;
    auto opens = PausedUntil(upstream.entry, now).value_or(now);
    if (IsRateLimited(upstream.entry)) {
      opens = std::max(
          opens, permits_->NextAvailableTime(id, upstream.entry.born_ms, now));
    }
    if (permits_ != nullptr) {
      opens = std::max(opens, permits_->slots().NextAvailableTime(
                                  SlotViewOf(upstream.entry), now));
    }
    if (opens <= now) return std::nullopt;
    next = next ? std::min(*next, opens) : opens;
  }
  return next;
}

std::vector<const UpstreamPicker::Upstream*> UpstreamPicker::EligibleUpstreams(
    const PickRequest& request, TimePoint now) const {
  std::vector<const Upstream*> healthy;
  std::vector<const Upstream*> ejected;
  for (const auto& [id, upstream] : upstreams_) {
    const bool is_eligible =
        upstream.entry.service == request.service && !upstream.entry.leaving &&
        !request.exclude.contains(id) && !PausedUntil(upstream.entry, now) &&
        (!request.version ||
         *request.version == upstream.entry.software_version) &&
        request.versions.Passes(id, upstream.entry.software_version) &&
        (request.version || HasCapacity(upstream));
    if (!is_eligible) continue;
    (now < upstream.ejected_until ? ejected : healthy).push_back(&upstream);
  }
  // If every upstream is ejected, the suspicion may be wrong: use them rather
  // than fail the service.
  return healthy.empty() ? ejected : healthy;
}

std::uint64_t UpstreamPicker::HomeHashKey(const PickRequest& request) const {
  if (!options_.prefix_homes || request.chunks.size() < 2) return 0;
  return request.chunks[request.chunks.size() - 2].id;
}

double UpstreamPicker::UncachedTokens(const Upstream& upstream,
                                      const PickRequest& request,
                                      bool is_home) {
  double cached = 0;
  for (std::size_t i = 0; i < request.chunks.size(); ++i) {
    const bool shared = i + 1 < request.chunks.size();
    const bool held = upstream.chunks.Contains(request.chunks[i].id);
    if (!held && !(shared && is_home)) break;
    cached += request.chunks[i].tokens;
  }
  return std::max(0.0, request.prompt_tokens - cached);
}

bool UpstreamPicker::IsEngine(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.engine.has_value();
}

EngineLoads::Engine UpstreamPicker::LoadViewOf(const Upstream& upstream) {
  return {upstream.entry.id, upstream.entry.service, upstream.entry.slots,
          upstream.in_flight};
}

std::vector<UpstreamPicker::Candidate> UpstreamPicker::RankCandidates(
    const std::vector<const Upstream*>& eligible, const PickRequest& request,
    TimePoint now) const {
  const auto key = HomeHashKey(request);
  const auto rank_of = [&](const Upstream* upstream) {
    return Hash64(upstream->entry.id, key == 0 ? pick_count_ : key);
  };
  // Local and remote upstreams each have a home, since crossing regions is
  // expensive.
  std::uint64_t local_home = 0;
  std::uint64_t remote_home = 0;
  for (const auto* upstream : eligible) {
    auto& home = IsRemote(upstream->entry) ? remote_home : local_home;
    home = std::max(home, rank_of(upstream));
  }
  std::vector<Candidate> ranked;
  ranked.reserve(eligible.size());
  for (const auto* upstream : eligible) {
    const auto rank = rank_of(upstream);
    const bool is_home =
        key != 0 && (rank == local_home || rank == remote_home);
    ranked.push_back({upstream, Cost(*upstream, request, is_home, now), rank});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_pair(a.cost, ~a.rank) <
                     std::make_pair(b.cost, ~b.rank);
            });
  return ranked;
}

bool UpstreamPicker::IsRateLimited(const UpstreamEntry& entry) const {
  return permits_ != nullptr && permits_->LimitOf(entry.id, entry.born_ms) > 0;
}

bool UpstreamPicker::HasSlot(const UpstreamEntry& entry, TimePoint now) const {
  return permits_ == nullptr ||
         permits_->slots().IsAvailable(SlotViewOf(entry), now);
}

void UpstreamPicker::RecordDenied(
    const std::vector<const UpstreamEntry*>& without_slot, TimePoint now) {
  auto& slots = permits_->slots();
  const auto obtainable = std::find_if(
      without_slot.begin(), without_slot.end(), [&](const auto* entry) {
        return slots.MayObtain(SlotViewOf(*entry), now);
      });
  if (obtainable != without_slot.end()) {
    slots.RecordDenied(SlotViewOf(**obtainable));
  }
}

std::optional<UpstreamEntry> UpstreamPicker::Pick(
    const PickRequest& request, TimePoint now,
    std::vector<UpstreamEntry>* without_permit) {
  ++pick_count_;
  std::size_t wanted = 0;
  std::vector<const UpstreamEntry*> without_slot;
  for (const auto& candidate :
       RankCandidates(EligibleUpstreams(request, now), request, now)) {
    const auto& entry = candidate.upstream->entry;
    if (!HasSlot(entry, now)) {
      without_slot.push_back(&entry);
      if (without_permit != nullptr) without_permit->push_back(entry);
      continue;
    }
    if (!IsRateLimited(entry)) return entry;
    if (wanted++ < kMaxWantedPerRequest) {
      permits_->RecordDemand(entry.id, entry.born_ms, now);
    }
    if (permits_->IsAvailable(entry.id, entry.born_ms, now)) return entry;
    if (without_permit != nullptr) without_permit->push_back(entry);
  }
  if (!without_slot.empty()) RecordDenied(without_slot, now);
  return std::nullopt;
}

bool UpstreamPicker::HasUpstreamFor(const PickRequest& request,
                                    TimePoint now) const {
  const auto eligible = EligibleUpstreams(request, now);
  return std::any_of(
      eligible.begin(), eligible.end(), [&](const Upstream* upstream) {
        const auto& entry = upstream->entry;
        return HasCapacity(*upstream) && HasSlot(entry, now) &&
               (!IsRateLimited(entry) ||
                permits_->IsAvailable(entry.id, entry.born_ms, now));
      });
}

double UpstreamPicker::PermitRate(const std::string& service,
                                  TimePoint now) const {
  double rate = 0;
  for (const auto& [id, upstream] : upstreams_) {
    const bool counts = upstream.entry.service == service &&
                        !upstream.entry.leaving && permits_ != nullptr;
    if (counts) rate += permits_->DaemonRate(id, upstream.entry.born_ms, now);
  }
  return rate;
}

double UpstreamPicker::SlotUtilization(const std::string& service,
                                       std::size_t daemons) const {
  double slots = 0;
  double own = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || upstream.entry.leaving) continue;
    slots += static_cast<double>(upstream.entry.slots);
    own += static_cast<double>(upstream.in_flight);
  }
  return own * static_cast<double>(daemons) / std::max(1.0, slots);
}

std::vector<UpstreamEntry> UpstreamPicker::EnginesToProbe(
    const PickRequest& request, std::size_t daemons, TimePoint now) {
  if (!IsEngine(request.service)) return {};
  loads_.OnRequest(request.service, request.output_tokens);
  const bool is_useful =
      loads_.IsWorthProbing(request.service, request.output_tokens) &&
      SlotUtilization(request.service, daemons) >= kMinProbeUtilization;
  if (!is_useful) return {};
  std::vector<UpstreamEntry> engines;
  std::size_t compared = 0;
  for (const auto& candidate :
       RankCandidates(EligibleUpstreams(request, now), request, now)) {
    const auto& entry = candidate.upstream->entry;
    // A report would use up the permit of a request.
    if (IsRemote(entry) || IsRateLimited(entry)) continue;
    if (!HasSlot(entry, now)) continue;
    if (!loads_.IsFresh(entry.id, now)) engines.push_back(entry);
    if (++compared == kEngineCandidates) break;
  }
  return engines;
}

void UpstreamPicker::OnReport(const std::string& id, const EngineLoad& load,
                              TimePoint now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    loads_.OnReport(LoadViewOf(found->second), load, now);
  }
}

Duration UpstreamPicker::ExpectedWait(const std::string& id,
                                      TimePoint now) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() || !IsEngine(found->second.entry.service)) {
    return Duration(0);
  }
  return loads_.Wait(LoadViewOf(found->second), now);
}

double UpstreamPicker::Occupancy(const std::string& id, TimePoint now) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end() || !IsEngine(found->second.entry.service)) {
    return 0;
  }
  const auto engine = LoadViewOf(found->second);
  return loads_.Requests(engine, now) /
         static_cast<double>(std::max<std::int64_t>(1, engine.slots));
}

PickTicket UpstreamPicker::OnSend(const std::string& id,
                                  const PickRequest& request,
                                  std::optional<TimePoint> now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return {};
  auto& upstream = found->second;
  FIRMOOR_INVARIANT(request.is_continuation || !upstream.entry.leaving,
                    "a request is not sent to a leaving upstream");
  PickTicket ticket;
  ticket.upstream = id;
  ticket.prefill_tokens = UncachedTokens(upstream, request, false);
  // What a stream that goes on still needs is not known here.
  const bool is_learned_from = LearnsCapacityOf(request.service) && now &&
                               !request.version && !request.is_continuation;
  if (is_learned_from) {
    ticket.sample = SampleOf(upstream, request, ticket.prefill_tokens, *now);
    ticket.sent_at = *now;
    ticket.born_ms = upstream.entry.born_ms;
  }
  ++upstream.in_flight;
  upstream.queued_tokens += ticket.prefill_tokens;
  for (const auto& chunk : request.chunks) upstream.chunks.Touch(chunk.id);
  return ticket;
}

void UpstreamPicker::FinishPrefill(const PickTicket& ticket) {
  const auto found = upstreams_.find(ticket.upstream);
  if (found == upstreams_.end() || ticket.started_at) return;
  auto& queued = found->second.queued_tokens;
  queued = std::max(0.0, queued - ticket.prefill_tokens);
}

void UpstreamPicker::OnFirstEvent(PickTicket* ticket, TimePoint now) {
  if (ticket->started_at) return;
  FinishPrefill(*ticket);
  ticket->started_at = now;
  LearnFrom(ticket, false, now);
}

void UpstreamPicker::OnEnd(PickTicket* ticket, UpstreamOutcome outcome,
                           TimePoint now) {
  FinishPrefill(*ticket);
  const bool is_given_up = outcome == UpstreamOutcome::kNeutral;
  // The first event tells more than the end of a generation.
  const bool has_answered = outcome == UpstreamOutcome::kSuccess &&
                            ticket->sample &&
                            !IsEngine(ticket->sample->work.service);
  if (is_given_up || has_answered) {
    LearnFrom(ticket, is_given_up, now);
  }
  const auto ended = std::exchange(*ticket, {});
  const auto found = upstreams_.find(ended.upstream);
  if (found == upstreams_.end()) return;
  auto& upstream = found->second;
  upstream.in_flight = std::max<std::int64_t>(0, upstream.in_flight - 1);
  if (upstream.in_flight == 0) upstream.queued_tokens = 0;
  if (ended.started_at) {
    loads_.OnRequestEnd(upstream.entry.service, now - *ended.started_at);
  }
  RecordOutcome(&upstream, outcome, now);
}

void UpstreamPicker::RecordOutcome(Upstream* upstream, UpstreamOutcome outcome,
                                   TimePoint now) {
  if (!options_.ejection || outcome == UpstreamOutcome::kNeutral) return;
  if (outcome == UpstreamOutcome::kSuccess) {
    upstream->failures = 0;
    upstream->ejections = 0;
    return;
  }
  ++upstream->failures;
  const bool eject = outcome == UpstreamOutcome::kUnreachable ||
                     upstream->failures >= kFailuresToEject;
  if (!eject || now < upstream->ejected_until) return;
  const int doublings = std::min(upstream->ejections, kMaxEjectionDoublings);
  ++upstream->ejections;
  upstream->failures = 0;
  upstream->ejected_until = now + kFirstEjection * (1 << doublings);
}

bool UpstreamPicker::HasVersion(const std::string& service,
                                const std::string& version) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(),
                     [&](const auto& item) {
                       const auto& entry = item.second.entry;
                       return entry.service == service && !entry.leaving &&
                              entry.software_version == version;
                     });
}

std::int64_t UpstreamPicker::InFlight(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? 0 : found->second.in_flight;
}

std::int64_t UpstreamPicker::ServiceInFlight(const std::string& service) const {
  std::int64_t total = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service == service) total += upstream.in_flight;
  }
  return total;
}

}  // namespace firmoor
