#include "rollout/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firmoor {
namespace {

// From the end of the canary to the deadline: replies reach all daemons, the
// streams at the old upstreams end, and reports tell so.
constexpr Duration kMoveTime{5'000};
// Short orders keep a part of their time for the canary.
constexpr int kMoveDivisor = 2;
constexpr Duration kHalfTime{800};
// Before the deadline: a few streams that still run are given up then.
constexpr Duration kLastMoment{600};
constexpr std::int64_t kMaxLeftBehind = 5;
// Responses of the target without which nothing is known of it: in all, and
// lately, since a version may turn bad.
constexpr double kMinObserved = 20;
constexpr double kMinRecent = 10;
constexpr Duration kRecentTime{2'500};
// Daemons that have not reported for longer may have exited.
constexpr Duration kReportingWithin{2'500};
constexpr Duration kCallRetryDelay{250};
// Responses of an upstream that say something about it.
constexpr double kMinOfUpstream = 8;
// A sound one fails a quarter as often as the worst at most, and is three half
// octaves faster.
constexpr double kMuchBetter = 4;
constexpr double kMuchFaster = 3;
// While only one upstream was used, the fault may be its own. Others are used
// within this time, unless too many responses were bad already.
constexpr Duration kSecondOpinion{2'500};
constexpr double kMaxBadOfOneUpstream = 20;

ArmCounts Difference(const ArmCounts& now, const ArmCounts& before) {
  ArmCounts added{std::max<std::int64_t>(0, now.ended - before.ended),
                  std::max<std::int64_t>(0, now.bad - before.bad),
                  {}};
  for (std::size_t i = 0; i < kPaceBuckets; ++i) {
    added.pace.at(i) =
        std::max<std::int64_t>(0, now.pace.at(i) - before.pace.at(i));
  }
  return added;
}

double Decay(Duration age) {
  return std::exp(-SecondsOf(age) / SecondsOf(kRecentTime));
}

bool IsTerminal(RolloutStage stage) {
  return stage == RolloutStage::kComplete || stage == RolloutStage::kReverted;
}

}  // namespace

void RolloutCoordinator::SetOrders(const std::vector<RolloutOrder>& orders,
                                   TimePoint now) {
  std::erase_if(rollouts_, [&](const auto& entry) {
    return std::find(orders.begin(), orders.end(), entry.second.order) ==
           orders.end();
  });
  for (const auto& order : orders) {
    if (rollouts_.contains(order.service)) continue;
    Rollout rollout;
    rollout.order = order;
    rollout.started_at = now;
    rollout.known_since = now;
    rollout.stage_since = now;
    rollout.next_call = now;
    rollouts_.emplace(order.service, std::move(rollout));
  }
}

RolloutReplies RolloutCoordinator::Replies() const {
  RolloutReplies replies;
  for (const auto& [service, rollout] : rollouts_) {
    replies[service] = {rollout.order.target, rollout.stage};
  }
  return replies;
}

bool RolloutCoordinator::HasFault() const {
  return std::any_of(rollouts_.begin(), rollouts_.end(), [](const auto& entry) {
    return entry.second.comparison.fault() != VersionFault::kNone &&
           !IsTerminal(entry.second.stage);
  });
}

void RolloutCoordinator::OnReport(const std::string& instance,
                                  const RolloutReports& reports,
                                  TimePoint now) {
  reported_at_[instance] = now;
  std::erase_if(reported_at_, [&](const auto& entry) {
    return now - entry.second > kReportingWithin;
  });
  for (auto& [service, rollout] : rollouts_) {
    const auto report = reports.find(service);
    const bool is_same = report != reports.end() &&
                         report->second.target == rollout.order.target &&
                         report->second.over == rollout.order.over;
    if (!is_same) continue;
    const bool is_known = rollout.instances.contains(instance);
    auto& known = rollout.instances[instance];
    // An early report and a regular one may arrive in the other order.
    if (report->second.age < known.report.age) continue;
    AddEvidence(&rollout, known.report, report->second, now);
    // The first report of an instance tells of the time before this term.
    if (is_known) Observe(&rollout, known.report, report->second, now);
    auto evidence = std::move(known.report.evidence);
    known = {report->second, now};
    // A report holds a bounded number of routes, not always the same.
    known.report.evidence.merge(evidence);
    rollout.started_at = std::min(rollout.started_at, now - report->second.age);
  }
}

void RolloutCoordinator::AddEvidence(Rollout* rollout,
                                     const RolloutReport& before,
                                     const RolloutReport& report,
                                     TimePoint now) {
  for (const auto& [route, arms] : report.evidence) {
    const auto found = before.evidence.find(route);
    const auto last =
        found == before.evidence.end() ? ArmPair() : found->second;
    rollout->comparison.Add(route,
                            {Difference(arms.baseline, last.baseline),
                             Difference(arms.target, last.target)},
                            now);
  }
}

void RolloutCoordinator::Observe(Rollout* rollout, const RolloutReport& before,
                                 const RolloutReport& report, TimePoint now) {
  const double kept = Decay(now - std::exchange(rollout->recent_at, now));
  for (auto& [id, recent] : rollout->recent) recent.Scale(kept);
  for (const auto& [id, counts] : report.targets) {
    const auto found = before.targets.find(id);
    const auto last =
        found == before.targets.end() ? UpstreamCounts() : found->second;
    rollout->recent[id].Add(counts, last);
    rollout->observed += static_cast<double>(
        std::max<std::int64_t>(0, counts.ended - last.ended));
  }
}

void RolloutCoordinator::RecentCounts::Scale(double factor) {
  ended *= factor;
  bad *= factor;
  timed *= factor;
  pace_sum *= factor;
}

void RolloutCoordinator::RecentCounts::Add(const UpstreamCounts& counts,
                                           const UpstreamCounts& before) {
  const auto added = [](std::int64_t now, std::int64_t last) {
    return static_cast<double>(std::max<std::int64_t>(0, now - last));
  };
  ended += added(counts.ended, before.ended);
  bad += added(counts.bad, before.bad);
  timed += added(counts.timed, before.timed);
  pace_sum += added(counts.pace_sum, before.pace_sum);
}

double RolloutCoordinator::RecentCounts::Badness(VersionFault fault) const {
  return fault == VersionFault::kFails ? bad / std::max(1.0, ended)
                                       : pace_sum / std::max(1.0, timed);
}

double RolloutCoordinator::RecentCounts::Samples(VersionFault fault) const {
  return fault == VersionFault::kFails ? ended : timed;
}

std::optional<RolloutCoordinator::Step> RolloutCoordinator::StepAfterFault(
    Rollout* rollout, TimePoint now) {
  const auto fault = rollout->comparison.fault();
  if (IsOneUpstream(*rollout, fault)) {
    rollout->comparison.Clear();
    rollout->fault_since.reset();
    return std::nullopt;
  }
  if (!rollout->fault_since) rollout->fault_since = now;
  double bad = 0;
  int used = 0;
  for (const auto& [id, recent] : rollout->recent) {
    bad += recent.bad;
    if (recent.Samples(fault) >= kMinOfUpstream) ++used;
  }
  const bool may_be_one_upstream = used < 2 && rollout->recent.size() <= 2 &&
                                   bad < kMaxBadOfOneUpstream &&
                                   now - *rollout->fault_since < kSecondOpinion;
  if (may_be_one_upstream) return std::nullopt;
  return Step{RolloutStage::kReverted, std::string(NameOf(fault))};
}

bool RolloutCoordinator::IsOneUpstream(const Rollout& rollout,
                                       VersionFault fault) {
  RecentCounts worst;
  RecentCounts all;
  for (const auto& [id, recent] : rollout.recent) {
    all.ended += recent.ended;
    all.bad += recent.bad;
    all.timed += recent.timed;
    all.pace_sum += recent.pace_sum;
    // Upstreams that are counted together have no name.
    const bool is_worst = !id.empty() &&
                          recent.Samples(fault) >= kMinOfUpstream &&
                          recent.Badness(fault) > worst.Badness(fault);
    if (is_worst) worst = recent;
  }
  const RecentCounts others{all.ended - worst.ended, all.bad - worst.bad,
                            all.timed - worst.timed,
                            all.pace_sum - worst.pace_sum};
  if (others.Samples(fault) < kMinOfUpstream) return false;
  if (fault == VersionFault::kFails) {
    return worst.bad > others.bad &&
           others.Badness(fault) * kMuchBetter < worst.Badness(fault);
  }
  return others.Badness(fault) + kMuchFaster < worst.Badness(fault);
}

std::optional<RolloutStage> RolloutCoordinator::StoredStage(
    const Rollout& rollout) {
  const auto& stored = rollout.stored;
  if (!stored || stored->state_target != rollout.order.target) {
    return std::nullopt;
  }
  if (stored->state == kRolloutComplete) return RolloutStage::kComplete;
  if (stored->state == kRolloutReverted) return RolloutStage::kReverted;
  return std::nullopt;
}

std::optional<RolloutCoordinator::Step> RolloutCoordinator::StepOfReports(
    const Rollout& rollout) {
  auto latest = rollout.stage;
  for (const auto& [instance, known] : rollout.instances) {
    latest = std::max(latest, known.report.stage);
  }
  if (latest == rollout.stage) return std::nullopt;
  return Step{latest, "reported"};
}

bool RolloutCoordinator::HasMoved(const Rollout& rollout, TimePoint now) {
  const auto deadline = rollout.started_at + rollout.order.over;
  const bool is_last_moment = now >= deadline - kLastMoment;
  std::int64_t left = 0;
  for (const auto& [instance, known] : rollout.instances) {
    // A daemon that is cut off may use the old upstreams still.
    if (now - known.reported_at > kReportingWithin) {
      if (is_last_moment) continue;
      return false;
    }
    if (known.report.stage < RolloutStage::kAll || known.report.is_stopped) {
      return false;
    }
    left += known.report.baseline_in_flight;
  }
  return left == 0 || (is_last_moment && left <= kMaxLeftBehind);
}

bool RolloutCoordinator::IsObserved(const Rollout& rollout, TimePoint now) {
  double recent = 0;
  for (const auto& [id, counts] : rollout.recent) recent += counts.ended;
  return rollout.observed >= kMinObserved &&
         recent * Decay(now - rollout.recent_at) >= kMinRecent;
}

std::optional<RolloutCoordinator::Step> RolloutCoordinator::NextStep(
    Rollout* rollout, TimePoint now) {
  const auto stored = StoredStage(*rollout);
  if (stored && *stored != rollout->stage) return Step{*stored, "stored"};
  if (IsTerminal(rollout->stage)) return std::nullopt;
  if (auto step = StepOfReports(*rollout)) return step;
  if (rollout->comparison.fault() != VersionFault::kNone) {
    return StepAfterFault(rollout, now);
  }
  const auto move_time =
      std::min(kMoveTime, rollout->order.over / kMoveDivisor);
  const auto deadline = rollout->started_at + rollout->order.over;
  switch (rollout->stage) {
    case RolloutStage::kWaiting:
      if (rollout->stored) return Step{RolloutStage::kCanary, "ordered"};
      break;
    case RolloutStage::kCanary:
      if (now >= deadline - move_time && IsObserved(*rollout, now)) {
        return Step{RolloutStage::kHalf, "sound"};
      }
      break;
    case RolloutStage::kHalf:
      if (now - rollout->stage_since >= kHalfTime) {
        return Step{RolloutStage::kAll, "sound"};
      }
      break;
    case RolloutStage::kAll:
    case RolloutStage::kComplete:
    case RolloutStage::kReverted:
      break;
  }
  return std::nullopt;
}

RolloutCoordinator::StageChange RolloutCoordinator::Enter(Rollout* rollout,
                                                          const Step& step,
                                                          TimePoint now) {
  StageChange change;
  change.service = rollout->order.service;
  change.target = rollout->order.target;
  change.from = rollout->stage;
  change.to = step.to;
  change.reason = step.reason;
  change.route = rollout->comparison.route();
  for (const auto& [instance, known] : rollout->instances) {
    change.requests += known.report.requests;
    change.sent += known.report.sent;
    for (const auto& [id, counts] : known.report.targets) {
      change.ended += counts.ended;
      change.bad += counts.bad;
    }
  }
  rollout->stage = step.to;
  rollout->stage_since = now;
  return change;
}

std::vector<RolloutCoordinator::StageChange> RolloutCoordinator::Advance(
    TimePoint now) {
  std::vector<StageChange> changes;
  for (auto& [service, rollout] : rollouts_) {
    if (const auto step = NextStep(&rollout, now)) {
      changes.push_back(Enter(&rollout, *step, now));
    }
    const auto& instances = rollout.instances;
    const bool all_know =
        std::all_of(reported_at_.begin(), reported_at_.end(),
                    [now, &instances = instances](const auto& entry) {
                      return now - entry.second > kReportingWithin ||
                             instances.contains(entry.first);
                    });
    // All daemons have reported in a term of this length.
    rollout.is_moved = rollout.stage == RolloutStage::kAll && all_know &&
                       now - rollout.known_since >= kReportingWithin &&
                       HasMoved(rollout, now);
  }
  return changes;
}

std::string RolloutCoordinator::WantedState(const Rollout& rollout) {
  if (rollout.stage == RolloutStage::kReverted) return kRolloutReverted;
  if (rollout.stage == RolloutStage::kComplete || rollout.is_moved) {
    return kRolloutComplete;
  }
  return kRolloutRunning;
}

std::vector<RolloutCoordinator::StoreCall> RolloutCoordinator::NextCalls(
    TimePoint now) {
  std::vector<StoreCall> calls;
  for (auto& [service, rollout] : rollouts_) {
    if (rollout.is_calling || now < rollout.next_call) continue;
    const auto& stored = rollout.stored;
    StoreCall call{service, "", rollout.order.target};
    if (stored) {
      // The operator has changed the order: this daemon hears of it soon.
      if (stored->target != rollout.order.target) {
        rollout.stored.reset();
        rollout.next_call = now + kCallRetryDelay;
        continue;
      }
      call.state = WantedState(rollout);
      const bool is_stored = stored->state == call.state &&
                             stored->state_target == rollout.order.target;
      // A final state is never replaced: the upstreams that it stops are gone.
      if (is_stored || StoredStage(rollout)) continue;
    }
    rollout.is_calling = true;
    calls.push_back(std::move(call));
  }
  return calls;
}

void RolloutCoordinator::OnRead(const std::string& service,
                                const std::optional<StoredRollout>& stored,
                                TimePoint now) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  auto& rollout = found->second;
  rollout.is_calling = false;
  rollout.stored = stored;
  rollout.next_call = stored ? now : now + kCallRetryDelay;
}

void RolloutCoordinator::OnStoreReturned() {
  for (auto& [service, rollout] : rollouts_) rollout.stored.reset();
}

void RolloutCoordinator::OnWritten(const StoreCall& call, bool written,
                                   TimePoint now) {
  const auto found = rollouts_.find(call.service);
  if (found == rollouts_.end()) return;
  auto& rollout = found->second;
  rollout.is_calling = false;
  if (rollout.order.target != call.target) return;
  if (!written) {
    rollout.stored.reset();
    rollout.next_call = now + kCallRetryDelay;
    return;
  }
  rollout.stored = StoredRollout{call.target, call.state, call.target};
}

}  // namespace firmoor
