#include "rollout/rollout_guard.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace firmoor {
namespace {

// Leaves room for requests that were sent before the order was known, and for
// further attempts.
constexpr double kCanaryFraction = 0.7;
// Share by which the canary traffic may exceed its mean for a while.
constexpr double kMaxCatchUp = 2;
// Two groups take turns, which shows whether a fault is that of one upstream.
constexpr std::size_t kCanaryGroups = 2;
constexpr Duration kCanaryTurn{2'000};
// Two replies of the coordinator are missing.
constexpr Duration kMaxSilence{2'500};
// The coordinator has had an early report and the others' evidence by then.
constexpr Duration kLocalStop{1'500};
// An upstream that has just started reads its prompts for the first time.
constexpr Duration kWarmUp{1'000};
// More than there are canaries, so that reports do not grow with the service.
constexpr std::size_t kMaxCountedUpstreams = 16;
// Of a service; more orders in a row than operators give.
constexpr std::size_t kMaxReverted = 16;

bool IsFinal(RolloutStage stage) {
  return stage == RolloutStage::kComplete || stage == RolloutStage::kReverted;
}

/// Whether whoever took over has not heard yet what came of a roll-out.
bool KnowsLess(RolloutStage said, RolloutStage known) {
  if (IsFinal(known)) return !IsFinal(said);
  return said == RolloutStage::kWaiting && known != RolloutStage::kWaiting;
}

}  // namespace

std::vector<RolloutOrder> RolloutGuard::orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, state] : states_) orders.push_back(state.order);
  return orders;
}

void RolloutGuard::ApplyOrder(
    const RolloutOrder& order,
    const std::map<std::string, UpstreamEntry>& upstreams, TimePoint now) {
  if (!settings_.enabled || order.service.empty() || order.target.empty()) {
    return;
  }
  const auto found = states_.find(order.service);
  if (found != states_.end()) {
    if (found->second.order == order) return;
    Remember(found->second);
  }
  State state;
  state.order = order;
  state.known_since = now;
  UpdateReverted(upstreams);
  UpdateUpstreams(&state, upstreams, now);
  states_.insert_or_assign(order.service, std::move(state));
}

void RolloutGuard::RemoveOrder(const std::string& service) {
  const auto found = states_.find(service);
  if (found == states_.end()) return;
  Remember(found->second);
  states_.erase(found);
}

void RolloutGuard::Remember(const State& state) {
  if (state.stage != RolloutStage::kReverted) return;
  auto& reverted = reverted_[state.order.service];
  if (reverted.versions.size() >= kMaxReverted) return;
  reverted.versions.insert(state.order.target);
  reverted.has_others = !state.baseline.empty();
}

void RolloutGuard::UpdateReverted(
    const std::map<std::string, UpstreamEntry>& entries) {
  if (reverted_.empty()) return;
  std::map<std::string, Reverted> left;
  for (const auto& [id, entry] : entries) {
    const auto found = reverted_.find(entry.service);
    if (found == reverted_.end()) continue;
    auto& reverted = left[entry.service];
    if (found->second.versions.contains(entry.software_version)) {
      reverted.versions.insert(entry.software_version);
    } else {
      reverted.has_others |= !entry.leaving;
    }
  }
  std::erase_if(
      left, [](const auto& entry) { return entry.second.versions.empty(); });
  reverted_ = std::move(left);
}

RolloutGuard::Versions RolloutGuard::RevertedOf(
    const std::string& service) const {
  const auto found = reverted_.find(service);
  if (found == reverted_.end() || !found->second.has_others) return {};
  auto versions = found->second.versions;
  const auto state = states_.find(service);
  if (state != states_.end()) versions.erase(state->second.order.target);
  return versions;
}

bool RolloutGuard::IsReverted(const std::string& service,
                              const std::string& version) const {
  return !reverted_.empty() && RevertedOf(service).contains(version);
}

void RolloutGuard::SetUpstreams(
    const std::map<std::string, UpstreamEntry>& entries, TimePoint now) {
  UpdateReverted(entries);
  for (auto& [service, state] : states_) UpdateUpstreams(&state, entries, now);
}

void RolloutGuard::UpdateUpstreams(
    State* state, const std::map<std::string, UpstreamEntry>& entries,
    TimePoint now) {
  state->targets.clear();
  state->baseline.clear();
  const auto reverted = RevertedOf(state->order.service);
  for (const auto& [id, entry] : entries) {
    if (entry.service != state->order.service || entry.leaving) continue;
    if (entry.software_version == state->order.target) {
      state->targets.push_back(id);
      state->listed_since.emplace(id, now);
    } else if (!reverted.contains(entry.software_version)) {
      state->baseline.insert(id);
    }
  }
  // All daemons use the same canaries, so that these are loaded as the others
  // are.
  std::sort(state->targets.begin(), state->targets.end(),
            [](const auto& left, const auto& right) {
              return Hash64(left) < Hash64(right);
            });
  state->has_seen_baseline |= !state->baseline.empty();
  if (state->stage == RolloutStage::kComplete) UpdateStopping(state);
}

void RolloutGuard::UpdateStopping(State* state) {
  std::erase_if(state->stopping,
                [&](const auto& id) { return !state->baseline.contains(id); });
  state->is_over |= state->stopping.empty();
}

const RolloutGuard::State* RolloutGuard::Find(
    const std::string& service) const {
  const auto found = states_.find(service);
  const bool applies = found != states_.end() &&
                       found->second.has_seen_baseline &&
                       !found->second.is_over;
  return applies ? &found->second : nullptr;
}

RolloutGuard::State* RolloutGuard::FindRunning(const std::string& service) {
  const auto found = states_.find(service);
  if (found == states_.end() || IsFinal(found->second.stage)) return nullptr;
  return &found->second;
}

UpstreamCounts& RolloutGuard::CountsOf(State* state,
                                       const std::string& upstream) {
  const bool is_counted = state->target_counts.contains(upstream) ||
                          state->target_counts.size() < kMaxCountedUpstreams;
  return state->target_counts[is_counted ? upstream : std::string()];
}

bool RolloutGuard::IsOpen(const State& state, TimePoint now) const {
  switch (state.stage) {
    case RolloutStage::kWaiting:
    case RolloutStage::kReverted:
      return false;
    case RolloutStage::kComplete:
      return true;
    case RolloutStage::kCanary:
    case RolloutStage::kHalf:
    case RolloutStage::kAll:
      break;
  }
  const auto max_silence = std::min(kMaxSilence, settings_.rollback / 2);
  return !state.stopped_at && state.heard_at &&
         now - *state.heard_at <= max_silence;
}

bool RolloutGuard::HasAllowance(const State& state) const {
  const double share = settings_.expose_share * kCanaryFraction;
  // Daemons round at different points, so that their sum keeps to the share
  // though each sends whole requests.
  constexpr double kHashRange = 1'000;
  const double offset =
      static_cast<double>(Hash64(daemon_, 0) %
                          static_cast<std::uint64_t>(kHashRange)) /
      kHashRange;
  const double allowed = share * static_cast<double>(state.requests) + offset;
  const bool is_spaced =
      static_cast<double>(state.since_target) * share * kMaxCatchUp >= 1;
  return static_cast<double>(state.sent) + 1 <= allowed &&
         (is_spaced || state.sent == 0);
}

bool RolloutGuard::ChoosesTarget(const std::string& service, bool is_first,
                                 TimePoint now) const {
  const auto* state = Find(service);
  if (state == nullptr || state->targets.empty() || !IsOpen(*state, now)) {
    return false;
  }
  switch (state->stage) {
    case RolloutStage::kCanary:
      return is_first && HasAllowance(*state);
    case RolloutStage::kHalf:
      return is_first && state->since_target > 0;
    case RolloutStage::kAll:
    case RolloutStage::kComplete:
      return true;
    case RolloutStage::kWaiting:
    case RolloutStage::kReverted:
      break;
  }
  return false;
}

std::set<std::string> RolloutGuard::CanariesOf(const State& state,
                                               TimePoint now) const {
  // As many as carry the load that is usual for one, so that a fault under load
  // shows.
  const double usual = settings_.expose_share * kCanaryFraction *
                       static_cast<double>(state.baseline.size());
  const auto& targets = state.targets;
  const auto count =
      std::min(targets.size(),
               std::max<std::size_t>(1, static_cast<std::size_t>(usual)));
  const auto turn =
      static_cast<std::size_t>((now - state.known_since) / kCanaryTurn);
  const auto groups =
      std::min(kCanaryGroups, targets.size() / std::max<std::size_t>(1, count));
  const auto first =
      targets.begin() + static_cast<std::ptrdiff_t>((turn % groups) * count);
  return {first, first + static_cast<std::ptrdiff_t>(count)};
}

bool RolloutGuard::IsLeftToTarget(const State& state) {
  const bool may_be_complete = state.stage == RolloutStage::kAll ||
                               state.stage == RolloutStage::kComplete ||
                               !state.heard_at;
  return state.baseline.empty() && may_be_complete;
}

VersionFilter RolloutGuard::FilterFor(const std::string& service,
                                      bool to_target, TimePoint now) const {
  const auto* state = Find(service);
  VersionFilter filter;
  if (state != nullptr && !IsLeftToTarget(*state)) {
    filter = FilterOfOrder(*state, to_target, now);
  }
  if (!reverted_.empty()) filter.reverted = RevertedOf(service);
  return filter;
}

VersionFilter RolloutGuard::FilterOfOrder(const State& state, bool to_target,
                                          TimePoint now) const {
  VersionFilter filter;
  const bool is_open = IsOpen(state, now);
  if (is_open && to_target) {
    if (state.stage == RolloutStage::kCanary && !state.targets.empty()) {
      filter.among = CanariesOf(state, now);
    } else {
      filter.only = state.order.target;
    }
    return filter;
  }
  const bool may_be_any = is_open && (state.stage == RolloutStage::kAll ||
                                      state.stage == RolloutStage::kComplete);
  if (!may_be_any) filter.avoid = state.order.target;
  return filter;
}

bool RolloutGuard::MaySend(const std::string& service,
                           const std::string& version, bool is_bound,
                           TimePoint now) const {
  if (IsReverted(service, version)) return false;
  const auto* state = Find(service);
  if (state == nullptr || version != state->order.target) return true;
  if (is_bound) return state->stage != RolloutStage::kReverted;
  return IsLeftToTarget(*state) || IsOpen(*state, now);
}

bool RolloutGuard::IsCapacity(const UpstreamEntry& upstream) const {
  if (IsReverted(upstream.service, upstream.software_version)) return false;
  const auto* state = Find(upstream.service);
  if (state == nullptr || IsLeftToTarget(*state)) return true;
  const bool has_moved = state->stage == RolloutStage::kAll ||
                         state->stage == RolloutStage::kComplete;
  return (upstream.software_version == state->order.target) == has_moved;
}

void RolloutGuard::OnSend(const std::string& service,
                          const std::string& version, bool is_first,
                          TimePoint) {
  auto* state = FindRunning(service);
  if (state == nullptr) return;
  if (is_first) {
    ++state->requests;
    ++state->since_target;
  }
  if (version != state->order.target) return;
  ++state->sent;
  state->since_target = 0;
}

void RolloutGuard::OnPace(const UpstreamEntry& upstream,
                          const std::string& route, std::size_t bucket,
                          TimePoint now) {
  auto* state = FindRunning(upstream.service);
  if (state == nullptr || bucket >= kPaceBuckets) return;
  auto& arms = state->evidence[route];
  ArmPair added;
  if (upstream.software_version != state->order.target) {
    ++arms.baseline.pace.at(bucket);
    ++added.baseline.pace.at(bucket);
  } else {
    const auto listed = state->listed_since.find(upstream.id);
    const bool is_warm =
        listed != state->listed_since.end() && now - listed->second >= kWarmUp;
    if (!is_warm) return;
    auto& counts = CountsOf(state, upstream.id);
    ++counts.timed;
    counts.pace_sum += static_cast<std::int64_t>(bucket);
    ++arms.target.pace.at(bucket);
    ++added.target.pace.at(bucket);
  }
  state->comparison.Add(route, added, now);
}

bool RolloutGuard::OnEnd(const UpstreamEntry& upstream,
                         const std::string& route, bool bad, TimePoint now) {
  auto* state = FindRunning(upstream.service);
  if (state == nullptr) return false;
  auto& arms = state->evidence[route];
  const bool is_target = upstream.software_version == state->order.target;
  ArmPair added;
  auto& total = is_target ? arms.target : arms.baseline;
  auto& part = is_target ? added.target : added.baseline;
  ++total.ended;
  ++part.ended;
  total.bad += bad ? 1 : 0;
  part.bad += bad ? 1 : 0;
  if (is_target) {
    auto& counts = CountsOf(state, upstream.id);
    ++counts.ended;
    counts.bad += bad ? 1 : 0;
  }
  state->comparison.Add(route, added, now);
  const bool stops = !state->stopped_at && IsOpen(*state, now) &&
                     state->stage != RolloutStage::kComplete &&
                     state->comparison.fault() != VersionFault::kNone;
  if (!stops) return false;
  state->stopped_at = now;
  ++local_stops_;
  return true;
}

RolloutReports RolloutGuard::Report(
    const std::function<std::int64_t(const std::string&)>& in_flight,
    TimePoint now) const {
  RolloutReports reports;
  for (const auto& [service, state] : states_) {
    auto& report = reports[service];
    report.target = state.order.target;
    report.age = now - state.known_since;
    report.over = state.order.over;
    report.stage = state.stage;
    if (IsFinal(state.stage)) continue;
    report.requests = state.requests;
    report.sent = state.sent;
    report.is_stopped = state.stopped_at.has_value();
    report.evidence = state.evidence;
    report.targets = state.target_counts;
    for (const auto& id : state.baseline) {
      report.baseline_in_flight += in_flight(id);
    }
  }
  return reports;
}

std::vector<std::string> RolloutGuard::Apply(const RolloutReplies& replies,
                                             TimePoint now) {
  std::vector<std::string> changed;
  for (const auto& [service, reply] : replies) {
    const auto found = states_.find(service);
    auto* state = found == states_.end() ? nullptr : &found->second;
    if (state == nullptr || reply.target != state->order.target) continue;
    if (KnowsLess(reply.stage, state->stage)) continue;
    state->heard_at = now;
    const bool goes_on =
        state->stopped_at && now - *state->stopped_at >= kLocalStop;
    if (goes_on) {
      state->stopped_at.reset();
      state->comparison.Clear();
    }
    if (state->stage == reply.stage) continue;
    state->stage = reply.stage;
    if (state->stage == RolloutStage::kComplete) {
      state->stopping = state->baseline;
      UpdateStopping(state);
      // It may have been reverted by an earlier order.
      const auto reverted = reverted_.find(service);
      if (reverted != reverted_.end()) {
        reverted->second.versions.erase(reply.target);
        if (reverted->second.versions.empty()) reverted_.erase(reverted);
      }
    }
    changed.push_back(service);
  }
  return changed;
}

std::string RolloutGuard::MetricsText() const {
  if (!settings_.enabled) return {};
  std::string text =
      fmt::format("firmoor_rollout_local_stops_total {}\n", local_stops_);
  for (const auto& [service, state] : states_) {
    std::int64_t ended = 0;
    std::int64_t bad = 0;
    for (const auto& [id, counts] : state.target_counts) {
      ended += counts.ended;
      bad += counts.bad;
    }
    text += fmt::format(
        "firmoor_rollout_stage{{service=\"{0}\"}} {1}\n"
        "firmoor_rollout_requests_total{{service=\"{0}\"}} {2}\n"
        "firmoor_rollout_sent_total{{service=\"{0}\"}} {3}\n"
        "firmoor_rollout_ended_total{{service=\"{0}\"}} {4}\n"
        "firmoor_rollout_bad_total{{service=\"{0}\"}} {5}\n",
        service, static_cast<int>(state.stage), state.requests, state.sent,
        ended, bad);
  }
  return text;
}

}  // namespace firmoor
