#include "admission/shortage_gate.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kPeriod{1'000};
// Two replies of the coordinator are missing.
constexpr Duration kNewsMaxAge{2'500};
constexpr double kDecay = 0.5;
// A caller that came back at its turn is admitted with a wait that is longer by
// this factor.
constexpr int kReturnFactor = 2;
// Part of the time left that may be spent on waiting; the rest is for the run.
constexpr int kTimeLeftDivisor = 2;
// Part of the time left for which callers wait when they are told to.
constexpr int kRetryDivisor = 3;
// Slots that a request leaves to others, as part of an upstream's, if its share
// is zero. More would often be idle, since upstreams start urgent ones first.
constexpr double kReserve = 0.25;
// Part of the room that callers who come back may take.
constexpr double kReturnShare = 0.25;

}  // namespace

std::string_view NameOf(ShortageReason reason) {
  switch (reason) {
    case ShortageReason::kRoom:
      return "room";
    case ShortageReason::kStepsAside:
      return "steps-aside";
    case ShortageReason::kLongWait:
      return "long-wait";
  }
  return "";
}

bool ShortageGate::Concerns(const std::string& service) const {
  const auto found = kinds_.find(service);
  return found != kinds_.end() && found->second.AreSeveral();
}

bool ShortageGate::HasNews(TimePoint now) const {
  return reply_.is_known && replied_at_ && now - *replied_at_ <= kNewsMaxAge;
}

const ServiceShares* ShortageGate::SharesOf(const std::string& service,
                                            TimePoint now) const {
  if (HasNews(now)) {
    const auto found = reply_.services.find(service);
    return found == reply_.services.end() ? nullptr : &found->second;
  }
  const auto found = states_.find(service);
  if (found == states_.end()) return nullptr;
  const auto& shares = found->second.own_level.shares();
  return shares ? &*shares : nullptr;
}

void ShortageGate::EndPeriods(TimePoint now) {
  if (!period_began_at_) period_began_at_ = now;
  if (now - *period_began_at_ < kPeriod) return;
  period_began_at_ = now;
  for (auto& [service, state] : states_) {
    state.own_level.Add(std::exchange(state.period, {}));
    state.own_level.EndPeriod(weight_of_);
    for (auto& [priority, admitted] : state.admitted) admitted *= kDecay;
  }
}

bool ShortageGate::HasReturned(const ShortageRequest& request,
                               ServiceState* state) {
  auto& usual = state->usual_time[request.route];
  usual = std::max(usual, request.time_left);
  return RetryTurns::IsTurn(usual - request.time_left, usual / kRetryDivisor);
}

double ShortageGate::PartAhead(const ShortageRequest& request,
                               const ServiceState& state, int priority,
                               TimePoint now) const {
  if (const auto* shares = SharesOf(request.service, now)) {
    const auto found = shares->priorities.find(priority);
    if (found != shares->priorities.end()) return found->second.ahead;
  }
  double ahead = 0;
  double all = 0;
  for (const auto& [of, admitted] : state.admitted) {
    all += admitted;
    if (of <= priority) ahead += admitted;
  }
  return ahead > 0 ? ahead / all : 1;
}

void ShortageGate::Judge(const ShortageRequest& request,
                         const ServiceState& state, TimePoint now,
                         ShortageDecision* decision) const {
  const auto& kinds = kinds_.at(request.service);
  const bool has_share = decision->share < 1 && request.lot < decision->share;
  // Upstreams would serve the least urgent last, and never while they are full.
  const bool has_floor = has_share && request.lot < decision->floor;
  const bool has_turn = has_floor || decision->has_returned;
  // With a turn, a request is admitted on the terms of the most urgent ones.
  const int terms = has_turn ? kinds.MostUrgent() : request.priority;
  decision->upstream_priority = terms;
  decision->wait = Duration(static_cast<std::int64_t>(
      static_cast<double>(request.expected_wait.count()) *
      PartAhead(request, state, terms, now)));
  decision->tolerated = std::min(
      kinds.ToleratedWait(terms) * (decision->has_returned ? kReturnFactor : 1),
      request.time_left / kTimeLeftDivisor);
  const bool steps_aside =
      decision->share < 1 && !has_share && !has_turn &&
      request.occupancy >= 1 - (1 - decision->share) * kReserve;
  if (steps_aside) {
    decision->reason = ShortageReason::kStepsAside;
  } else if (decision->wait > decision->tolerated) {
    decision->reason = ShortageReason::kLongWait;
  }
  if (decision->reason != ShortageReason::kRoom) {
    decision->verdict = ShortageVerdict::kRefuse;
  } else if (request.expected_wait > Duration(0)) {
    decision->verdict = ShortageVerdict::kHold;
  }
}

void ShortageGate::Record(const ShortageRequest& request, ServiceState* state,
                          ShortageDecision* decision, TimePoint now) {
  const bool refused = decision->verdict == ShortageVerdict::kRefuse;
  auto& counters = counters_[request.service][request.priority];
  ++(refused                                       ? counters.refused
     : decision->verdict == ShortageVerdict::kHold ? counters.held
                                                   : counters.admitted);
  if (refused) {
    double rate = 0;
    for (const auto& [priority, admitted] : state->admitted) rate += admitted;
    const auto excess =
        std::max(Duration(0), request.expected_wait - decision->tolerated);
    decision->retry_after = state->turns.Next(
        {request.priority, excess, request.time_left / kRetryDivisor,
         rate * kReturnShare},
        now);
  } else {
    state->admitted[request.priority] += kDecay;
  }
  if (!request.is_first_attempt) return;
  for (auto* demand : {&state->unreported, &state->period}) {
    auto& counts = (*demand)[{request.priority, request.workspace}];
    ++counts.offered;
    if (!refused) ++counts.admitted;
    if (decision->reason == ShortageReason::kLongWait) ++counts.short_of_room;
  }
}

ShortageDecision ShortageGate::Decide(const ShortageRequest& request,
                                      TimePoint now) {
  EndPeriods(now);
  auto& state = states_[request.service];
  ShortageDecision decision;
  decision.is_own_view = !HasNews(now);
  if (const auto* shares = SharesOf(request.service, now)) {
    decision.level = shares->level;
    decision.share = shares->ShareOf(request.priority, request.workspace);
    decision.floor = shares->FloorOf(request.priority, request.workspace);
  }
  decision.has_returned = HasReturned(request, &state);
  Judge(request, state, now, &decision);
  Record(request, &state, &decision, now);
  return decision;
}

ShortageReport ShortageGate::Report(TimePoint now) {
  EndPeriods(now);
  ShortageReport report;
  for (auto& [service, state] : states_) {
    const auto demand = std::exchange(state.unreported, {});
    if (demand.empty()) continue;
    const bool by_workspace = SharesOf(service, now) != nullptr;
    for (const auto& [key, counts] : demand) {
      report.services[service][{key.priority,
                                by_workspace ? key.workspace : ""}] += counts;
    }
  }
  return report;
}

void ShortageGate::OnReply(const ShortageReply& reply, TimePoint now) {
  EndPeriods(now);
  if (!reply.is_known) return;
  reply_ = reply;
  replied_at_ = now;
  // Without further news, all daemons go on from the same level.
  for (auto& [service, state] : states_) {
    const auto found = reply.services.find(service);
    state.own_level.Adopt(found == reply.services.end()
                              ? std::nullopt
                              : std::optional(found->second));
  }
}

}  // namespace firmoor
