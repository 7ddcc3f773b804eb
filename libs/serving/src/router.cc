#include "serving/router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "serving/prefix_chunks.h"

namespace firmoor {
namespace {

constexpr std::size_t kPrefixIndexChunks = 16'384;
constexpr double kInitialPrefillTokensPerS = 8'000;
constexpr double kPrefillRateSmoothing = 0.05;  // Weight of a new sample.
constexpr double kMinPrefillTokensPerS = 200;
constexpr double kMaxPrefillTokensPerS = 200'000;
// With fewer tokens, the time reflects the network more than the prefill.
constexpr double kMinSampleTokens = 256;
constexpr double kMsPerSecond = 1'000;
// The rest of the target is left for queueing before the request is sent.
constexpr double kUpstreamShareOfTarget = 0.35;
constexpr Duration kInitialEjection{500};
constexpr int kMaxEjectionDoublings = 6;
// Waiting is worthwhile when it saves at least 1/divisor of the chunks.
constexpr std::size_t kMinSavedPrefixDivisor = 2;

}  // namespace

Router::Router(std::unique_ptr<RoutingStrategy> strategy)
    : strategy_(std::move(strategy)) {
  FIRMOOR_PRECONDITION(strategy_, "the strategy is not null");
}

void Router::AddReplica(const std::string& id, Distance distance,
                        std::int64_t concurrency) {
  replicas_.try_emplace(
      id, Replica{.distance = distance,
                  .limit = ConcurrencyLimit(concurrency),
                  .index = PrefixIndex(kPrefixIndexChunks),
                  .reported = {},
                  .reported_at = {},
                  .prefill_tokens_per_s = kInitialPrefillTokensPerS,
                  .ejected_until = {}});
}

void Router::RemoveReplica(const std::string& id) { replicas_.erase(id); }

void Router::SetConcurrency(std::int64_t concurrency) {
  for (auto& [id, replica] : replicas_) replica.limit.SetCeiling(concurrency);
}

void Router::SetLeaving(const std::string& id) {
  const auto found = replicas_.find(id);
  if (found != replicas_.end()) found->second.leaving = true;
}

bool Router::IsUsable(const Replica& replica, TimePoint now,
                      bool include_ejected) const {
  return !replica.leaving && (include_ejected || now >= replica.ejected_until);
}

bool Router::AllEjected(TimePoint now) const {
  return std::none_of(
      replicas_.begin(), replicas_.end(),
      [&](const auto& entry) { return IsUsable(entry.second, now, false); });
}

double Router::UncachedTokens(const Replica& replica,
                              const RouteRequest& request) {
  const auto matched = replica.index.MatchedChunks(request.chunks);
  return std::max(0.0, static_cast<double>(request.prompt_tokens) -
                           static_cast<double>(matched * kChunkTokens));
}

ReplicaView Router::MakeView(const std::string& id, const Replica& replica,
                             const RouteRequest& request, TimePoint now) const {
  ReplicaView view;
  view.id = id;
  view.in_flight = replica.in_flight;
  // The report includes the requests of this daemon at that time; the rest are
  // those of other daemons.
  const auto others_running = std::max<std::int64_t>(
      0, replica.reported.running - replica.in_flight_at_report);
  view.running = others_running + replica.in_flight;
  const double age_s =
      static_cast<double>((now - replica.reported_at).count()) / 1'000.0;
  const double drained_tokens = age_s * replica.prefill_tokens_per_s;
  const double others_queued =
      std::max(0.0, static_cast<double>(replica.reported.queued_tokens) -
                        replica.local_queued_at_report - drained_tokens);
  view.queued_tokens = others_queued + replica.local_queued_tokens;
  view.matched_chunks = replica.index.MatchedChunks(request.chunks);
  view.prefill_tokens_per_s = replica.prefill_tokens_per_s;
  const std::uint64_t seed =
      request.chunks.empty() ? 0 : request.chunks.front();
  view.rendezvous_rank = Hash64(id, seed);
  view.is_same_zone = replica.distance == Distance::kZone;
  return view;
}

std::optional<Router::Choice> Router::PickInPool(bool remote,
                                                 const RouteRequest& request,
                                                 TimePoint now,
                                                 bool include_ejected) const {
  std::vector<ReplicaView> views;
  for (const auto& [id, replica] : replicas_) {
    const bool fits = (replica.distance == Distance::kRemote) == remote &&
                      IsUsable(replica, now, include_ejected) &&
                      replica.in_flight < replica.limit.value() &&
                      !request.exclude.contains(id);
    if (!fits) continue;
    views.push_back(MakeView(id, replica, request, now));
  }
  if (views.empty()) return std::nullopt;
  std::vector<double> costs;
  costs.reserve(views.size());
  for (std::size_t i = 0; i < views.size(); ++i) {
    auto& view = views[i];
    view.round_robin_position =
        (i + views.size() - pick_count_ % views.size()) % views.size();
    costs.push_back(strategy_->Cost(view, request));
  }
  const double max_cost = *std::min_element(costs.begin(), costs.end()) +
                          (request.chunks.empty() ? 0 : strategy_->Tolerance());
  const ReplicaView* best = nullptr;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (costs[i] > max_cost) continue;
    const auto& view = views[i];
    const bool better =
        best == nullptr ||
        std::tie(view.matched_chunks, view.rendezvous_rank) >
            std::tie(best->matched_chunks, best->rendezvous_rank);
    if (better) best = &view;
  }
  const auto distance = replicas_.at(std::string(best->id)).distance;
  return Choice{std::string(best->id), distance, best->matched_chunks};
}

std::optional<Router::Choice> Router::Pick(const RouteRequest& request,
                                           TimePoint now) {
  ++pick_count_;
  return FindBest(request, now);
}

bool Router::CanPick(const RouteRequest& request, TimePoint now) const {
  return FindBest(request, now).has_value();
}

std::optional<Router::Choice> Router::FindBest(const RouteRequest& request,
                                               TimePoint now) const {
  const bool include_ejected = AllEjected(now);
  auto choice = PickInPool(false, request, now, include_ejected);
  if (choice || !request.may_cross_region) return choice;
  return PickInPool(true, request, now, include_ejected);
}

bool Router::IsWorthWaiting(const RouteRequest& request, const Choice& choice,
                            TimePoint now) const {
  const auto min_matched_chunks =
      choice.matched_chunks +
      std::max<std::size_t>(request.chunks.size() / kMinSavedPrefixDivisor, 1);
  return std::any_of(
      replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        const auto& [id, replica] = entry;
        return replica.distance != Distance::kRemote &&
               IsUsable(replica, now, false) && !request.exclude.contains(id) &&
               replica.in_flight >= replica.limit.value() &&
               replica.index.MatchedChunks(request.chunks) >=
                   min_matched_chunks;
      });
}

RouteTicket Router::OnDispatch(const std::string& id,
                               const RouteRequest& request, TimePoint now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return {};
  auto& replica = found->second;
  FIRMOOR_INVARIANT(!replica.leaving,
                    "no request is sent to a leaving replica");
  RouteTicket ticket;
  ticket.replica = id;
  ticket.uncached_tokens = UncachedTokens(replica, request);
  ticket.prefill_backlog_tokens =
      MakeView(id, replica, request, now).queued_tokens +
      ticket.uncached_tokens;
  ++replica.in_flight;
  replica.local_queued_tokens += ticket.uncached_tokens;
  replica.index.Touch(request.chunks);
  return ticket;
}

void Router::OnFirstToken(RouteTicket* ticket, Duration after, Duration target,
                          TimePoint now) {
  const auto found = replicas_.find(ticket->replica);
  if (found == replicas_.end() || ticket->first_token_seen) return;
  auto& replica = found->second;
  ticket->first_token_seen = true;
  RemoveQueuedTokens(&replica, *ticket);
  const bool was_full = replica.in_flight >= replica.limit.value();
  // The prefill of the request itself does not indicate queueing.
  const Duration own_prefill(static_cast<std::int64_t>(
      ticket->uncached_tokens * kMsPerSecond / replica.prefill_tokens_per_s));
  const Duration bound(static_cast<std::int64_t>(
      static_cast<double>(target.count()) * kUpstreamShareOfTarget));
  replica.limit.OnSample(std::max(after - own_prefill, Duration(0)), bound,
                         was_full, now);
  if (after <= Duration(0) ||
      ticket->prefill_backlog_tokens < kMinSampleTokens) {
    return;
  }
  const double rate = ticket->prefill_backlog_tokens * kMsPerSecond /
                      static_cast<double>(after.count());
  const double mean =
      replica.prefill_tokens_per_s * (1 - kPrefillRateSmoothing) +
      rate * kPrefillRateSmoothing;
  replica.prefill_tokens_per_s =
      std::clamp(mean, kMinPrefillTokensPerS, kMaxPrefillTokensPerS);
}

void Router::OnEnd(RouteTicket* ticket) {
  const auto ended = std::exchange(*ticket, {});
  const auto found = replicas_.find(ended.replica);
  if (found == replicas_.end()) return;
  auto& replica = found->second;
  FIRMOOR_INVARIANT(replica.in_flight > 0, "an ended request was in flight");
  replica.in_flight = std::max<std::int64_t>(0, replica.in_flight - 1);
  if (!ended.first_token_seen) RemoveQueuedTokens(&replica, ended);
}

void Router::RemoveQueuedTokens(Replica* replica, const RouteTicket& ticket) {
  replica->local_queued_tokens =
      std::max(0.0, replica->local_queued_tokens - ticket.uncached_tokens);
  if (replica->in_flight == 0) replica->local_queued_tokens = 0;
}

void Router::OnFailure(const std::string& id, TimePoint now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return;
  auto& replica = found->second;
  const int doublings = std::min(replica.failures, kMaxEjectionDoublings);
  ++replica.failures;
  replica.ejected_until = now + kInitialEjection * (1 << doublings);
}

void Router::OnSuccess(const std::string& id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return;
  found->second.failures = 0;
  found->second.ejected_until = {};
}

void Router::OnLoadReport(const std::string& id, const ReplicaLoad& load,
                          TimePoint now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return;
  auto& replica = found->second;
  replica.reported = load;
  replica.reported_at = now;
  replica.in_flight_at_report = replica.in_flight;
  replica.local_queued_at_report = replica.local_queued_tokens;
}

void Router::OnCacheStored(const std::string& id,
                           std::span<const std::uint64_t> chunks) {
  const auto found = replicas_.find(id);
  if (found != replicas_.end()) found->second.index.Touch(chunks);
}

void Router::OnCacheRemoved(const std::string& id,
                            std::span<const std::uint64_t> chunks) {
  const auto found = replicas_.find(id);
  if (found != replicas_.end()) found->second.index.Remove(chunks);
}

std::int64_t Router::Capacity(TimePoint now) const {
  std::int64_t total = 0;
  const bool include_ejected = AllEjected(now);
  for (const auto& [id, replica] : replicas_) {
    if (IsUsable(replica, now, include_ejected)) total += replica.limit.value();
  }
  return total;
}

std::int64_t Router::InFlight(const std::string& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? 0 : found->second.in_flight;
}

}  // namespace firmoor
