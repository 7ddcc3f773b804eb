#include "serving/router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "serving/prefix_chunks.h"

namespace firmoor {
namespace {

constexpr std::size_t kIndexChunks = 16'384;
constexpr double kFirstPrefillTokensPerS = 8'000;
constexpr double kRateWeight = 0.05;  // Of a new sample in the mean.
constexpr double kMinPrefillTokensPerS = 200;
constexpr double kMaxPrefillTokensPerS = 200'000;
// Shorter work says more about the network than about the prefill.
constexpr double kLeastSampleTokens = 256;
constexpr double kMsPerSecond = 1'000;
constexpr Duration kFirstEjection{500};
constexpr int kMaxEjectionDoublings = 6;
// A request waits when it saves this part of its prefill.
constexpr std::size_t kWorthWaitingParts = 2;

}  // namespace

Router::Router(std::unique_ptr<RoutingStrategy> strategy)
    : strategy_(std::move(strategy)) {
  FIRMOOR_PRECONDITION(strategy_, "a router has a strategy");
}

void Router::AddReplica(const std::string& id, Distance distance,
                        std::int64_t concurrency) {
  replicas_.try_emplace(id,
                        Replica{.distance = distance,
                                .limit = ConcurrencyLimit(concurrency),
                                .index = PrefixIndex(kIndexChunks),
                                .reported = {},
                                .reported_at = {},
                                .prefill_tokens_per_s = kFirstPrefillTokensPerS,
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
                      bool with_ejected) const {
  return !replica.leaving && (with_ejected || now >= replica.ejected_until);
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

ReplicaView Router::ViewOf(const std::string& id, const Replica& replica,
                           const RouteRequest& request, TimePoint now) const {
  ReplicaView view;
  view.id = id;
  view.in_flight = replica.in_flight;
  // The report holds what this daemon had there when it was made; only the
  // rest is other daemons' work.
  const auto others = std::max<std::int64_t>(
      0, replica.reported.running - replica.in_flight_at_report);
  view.running = others + replica.in_flight;
  const double age_s =
      static_cast<double>((now - replica.reported_at).count()) / 1'000.0;
  const double drained = age_s * replica.prefill_tokens_per_s;
  const double others_queued =
      std::max(0.0, static_cast<double>(replica.reported.queued_tokens) -
                        replica.own_queued_at_report - drained);
  view.queued_tokens = others_queued + replica.own_queued_tokens;
  view.matched_chunks = replica.index.MatchedChunks(request.chunks);
  view.prefill_tokens_per_s = replica.prefill_tokens_per_s;
  const std::uint64_t seed =
      request.chunks.empty() ? 0 : request.chunks.front();
  view.rank = Hash64(id, seed);
  view.own_zone = replica.distance == Distance::kZone;
  return view;
}

std::optional<Router::Choice> Router::PickAt(bool remote,
                                             const RouteRequest& request,
                                             TimePoint now,
                                             bool with_ejected) const {
  std::vector<ReplicaView> views;
  for (const auto& [id, replica] : replicas_) {
    const bool fits = (replica.distance == Distance::kRemote) == remote &&
                      IsUsable(replica, now, with_ejected) &&
                      replica.in_flight < replica.limit.value() &&
                      !request.exclude.contains(id);
    if (!fits) continue;
    views.push_back(ViewOf(id, replica, request, now));
  }
  if (views.empty()) return std::nullopt;
  std::vector<double> costs;
  costs.reserve(views.size());
  for (std::size_t i = 0; i < views.size(); ++i) {
    auto& view = views[i];
    view.turn = (i + views.size() - turn_ % views.size()) % views.size();
    costs.push_back(strategy_->Cost(view, request));
  }
  const double bound = *std::min_element(costs.begin(), costs.end()) +
                       (request.chunks.empty() ? 0 : strategy_->Tolerance());
  const ReplicaView* best = nullptr;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (costs[i] > bound) continue;
    const auto& view = views[i];
    const bool better =
        best == nullptr || std::tie(view.matched_chunks, view.rank) >
                               std::tie(best->matched_chunks, best->rank);
    if (better) best = &view;
  }
  const auto distance = replicas_.at(std::string(best->id)).distance;
  return Choice{std::string(best->id), distance, best->matched_chunks};
}

std::optional<Router::Choice> Router::Pick(const RouteRequest& request,
                                           TimePoint now) {
  ++turn_;
  const bool with_ejected = AllEjected(now);
  auto choice = PickAt(false, request, now, with_ejected);
  if (choice || !request.may_cross_region) return choice;
  return PickAt(true, request, now, with_ejected);
}

bool Router::IsWorthWaiting(const RouteRequest& request, const Choice& choice,
                            TimePoint now) const {
  const auto least =
      choice.matched_chunks +
      std::max<std::size_t>(request.chunks.size() / kWorthWaitingParts, 1);
  return std::any_of(
      replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        const auto& [id, replica] = entry;
        return replica.distance != Distance::kRemote &&
               IsUsable(replica, now, false) && !request.exclude.contains(id) &&
               replica.in_flight >= replica.limit.value() &&
               replica.index.MatchedChunks(request.chunks) >= least;
      });
}

RouteTicket Router::OnDispatch(const std::string& id,
                               const RouteRequest& request, TimePoint now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return {};
  auto& replica = found->second;
  FIRMOOR_INVARIANT(!replica.leaving, "a request goes to a replica that stays");
  RouteTicket ticket;
  ticket.replica = id;
  ticket.own_tokens = UncachedTokens(replica, request);
  ticket.work_tokens =
      ViewOf(id, replica, request, now).queued_tokens + ticket.own_tokens;
  ++replica.in_flight;
  replica.own_queued_tokens += ticket.own_tokens;
  replica.index.Touch(request.chunks);
  return ticket;
}

void Router::OnFirstToken(RouteTicket* ticket, Duration after, Duration target,
                          TimePoint now) {
  const auto found = replicas_.find(ticket->replica);
  if (found == replicas_.end() || ticket->first_token_seen) return;
  auto& replica = found->second;
  ticket->first_token_seen = true;
  Unqueue(&replica, *ticket);
  const bool was_full = replica.in_flight >= replica.limit.value();
  // The request's own prefill says nothing about the queue.
  const Duration own(static_cast<std::int64_t>(
      ticket->own_tokens * kMsPerSecond / replica.prefill_tokens_per_s));
  replica.limit.OnSample(std::max(after - own, Duration(0)), target, was_full,
                         now);
  if (after <= Duration(0) || ticket->work_tokens < kLeastSampleTokens) return;
  const double rate =
      ticket->work_tokens * kMsPerSecond / static_cast<double>(after.count());
  const double mean =
      replica.prefill_tokens_per_s * (1 - kRateWeight) + rate * kRateWeight;
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
  if (!ended.first_token_seen) Unqueue(&replica, ended);
}

void Router::Unqueue(Replica* replica, const RouteTicket& ticket) {
  replica->own_queued_tokens =
      std::max(0.0, replica->own_queued_tokens - ticket.own_tokens);
  if (replica->in_flight == 0) replica->own_queued_tokens = 0;
}

void Router::OnFailure(const std::string& id, TimePoint now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) return;
  auto& replica = found->second;
  const int doublings = std::min(replica.failures, kMaxEjectionDoublings);
  ++replica.failures;
  replica.ejected_until = now + kFirstEjection * (1 << doublings);
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
  replica.own_queued_at_report = replica.own_queued_tokens;
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
  const bool with_ejected = AllEjected(now);
  for (const auto& [id, replica] : replicas_) {
    if (IsUsable(replica, now, with_ejected)) total += replica.limit.value();
  }
  return total;
}

std::int64_t Router::InFlight(const std::string& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? 0 : found->second.in_flight;
}

}  // namespace firmoor
