#include "shortage_fleet_model.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace firmoor {
namespace {

constexpr Duration kTick{10};
constexpr Duration kRunTime{1'000};
constexpr Duration kReportAge{200};
// By kind, a second and daemon, and their objectives and deadlines.
constexpr double kRates[] = {3.8, 2.9, 2.4};
constexpr Duration kObjectives[] = {Duration(500), Duration(1'000),
                                    Duration(2'500)};
constexpr Duration kDeadlines[] = {Duration(8'000), Duration(4'000),
                                   Duration(8'000)};
constexpr double kSlotsPerDaemon = 11.5;     // A quarter more than usual.
constexpr std::size_t kLargeWorkspaces = 3;  // Have half of the demand.
constexpr double kHotPart = 0.1;

KindsByService Kinds() {
  ServiceKinds::Builder builder;
  for (int kind = 0; kind < 3; ++kind) builder.Add(kind, kObjectives[kind]);
  return {{"model", builder.Build()}};
}

double Fraction(std::uint64_t content, const char* of) {
  return HashFraction(of + std::to_string(content));
}

}  // namespace

ShortageFleetModel::ShortageFleetModel(std::size_t daemons)
    : daemons_(daemons),
      coordinator_(std::make_unique<FleetShortage>(TimePoint{})) {
  for (auto& daemon : daemons_) daemon.SetKinds(Kinds());
  pools_[0].part = 1 - kHotPart;
  pools_[1].part = kHotPart;
}

double ShortageFleetModel::SlotsOf(const Pool& pool) const {
  return pool.part * capacity * kSlotsPerDaemon *
         static_cast<double>(daemons_.size());
}

void ShortageFleetModel::Count(const Caller& caller, bool served) {
  if (!caller.is_counted) return;
  for (auto* tally :
       {&result_.kinds[caller.kind], &result_.workspaces[caller.workspace],
        &result_.zones[caller.zone], &result_.all,
        caller.is_large ? &result_.large : nullptr,
        caller.is_hot ? &result_.hot : nullptr}) {
    if (tally != nullptr) (served ? tally->served : tally->owed) += 1;
  }
}

ShortageFleetModel::Caller ShortageFleetModel::MakeCaller(std::size_t kind) {
  Caller caller;
  caller.kind = kind;
  caller.content = ++sequence_;
  double at = Fraction(caller.content, "w") *
              (workspace_factor - 1 + 2 * kLargeWorkspaces);
  const auto weight_of = [&](std::size_t workspace) {
    if (workspace == 0) return workspace_factor;
    return workspace < kLargeWorkspaces
               ? 1.0
               : static_cast<double>(kLargeWorkspaces) /
                     static_cast<double>(kWorkspaces - kLargeWorkspaces);
  };
  while (caller.workspace + 1 < kWorkspaces &&
         at >= weight_of(caller.workspace)) {
    at -= weight_of(caller.workspace++);
  }
  caller.zone = static_cast<std::size_t>(Fraction(caller.content, "z") *
                                         static_cast<double>(kZones));
  caller.is_large = Fraction(caller.content, "s") < 0.1;
  caller.is_hot = Fraction(caller.content, "h") < hot_part;
  caller.began_at = now_;
  caller.is_counted = true;
  return caller;
}

void ShortageFleetModel::Arrive() {
  const double factor =
      1 + (workspace_factor - 1) / static_cast<double>(2 * kLargeWorkspaces);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    due_[kind] += kRates[kind] * kind_factor[kind] * factor *
                  static_cast<double>(daemons_.size()) * SecondsOf(kTick);
    for (; due_[kind] >= 1; due_[kind] -= 1) {
      const auto caller = MakeCaller(kind);
      Count(caller, false);
      Ask(caller);
    }
  }
}

void ShortageFleetModel::Ask(Caller caller) {
  std::size_t daemon = 0;
  do {
    daemon = static_cast<std::size_t>(Fraction(++asked_, "d") *
                                      static_cast<double>(daemons_.size()));
  } while (daemon % kZones != caller.zone);
  auto& pool = pools_[caller.is_hot ? 1 : 0];
  const double seen = pool.seen.empty() ? 0 : pool.seen.front();
  const double ahead = std::max(0.0, seen + 1 - SlotsOf(pool));
  ShortageRequest request;
  request.service = "model";
  request.route = std::to_string(caller.kind);
  request.workspace = std::to_string(caller.workspace);
  request.priority = static_cast<int>(caller.kind);
  request.time_left = caller.began_at + kDeadlines[caller.kind] - now_;
  request.expected_wait =
      DurationOfSeconds(SecondsOf(kRunTime) * ahead / SlotsOf(pool));
  request.occupancy = std::min(1.0, seen / SlotsOf(pool));
  request.lot = Fraction(caller.content, "l");
  ShortageDecision decision;
  decision.upstream_priority = request.priority;
  if (by_urgency) {
    decision = daemons_[daemon].Decide(request, now_);
  } else if (request.expected_wait > kObjectives[caller.kind] / 4) {
    decision.verdict = ShortageVerdict::kRefuse;
    decision.retry_after = request.expected_wait;
  }
  if (decision.verdict != ShortageVerdict::kRefuse) {
    if (caller.has_turn) ++result_.admitted_at_turn;
    pool.waiting.emplace(std::pair(decision.upstream_priority, ++asked_),
                         caller);
    return;
  }
  ++result_.refused[caller.kind];
  if (std::exchange(caller.comes_back, true)) {
    if (caller.has_turn) ++result_.refused_at_turn;
    return;
  }
  caller.has_turn = decision.retry_after < request.time_left / 3;
  const auto delay = std::min(decision.retry_after, request.time_left / 3);
  returning_.emplace(now_ + delay, caller);
}

void ShortageFleetModel::Serve(Pool* pool) {
  auto& running = pool->running;
  while (!running.empty() && running.top() <= now_) running.pop();
  std::erase_if(pool->waiting, [this](const auto& entry) {
    return entry.second.began_at + kDeadlines[entry.second.kind] <= now_;
  });
  const double slots = SlotsOf(*pool);
  while (!pool->waiting.empty() &&
         static_cast<double>(running.size()) < slots) {
    const auto caller = pool->waiting.begin()->second;
    pool->waiting.erase(pool->waiting.begin());
    Count(caller, true);
    running.push(now_ + kRunTime);
  }
  pool->seen.push_back(
      static_cast<double>(running.size() + pool->waiting.size()));
  const auto most = static_cast<std::size_t>(kReportAge / kTick);
  if (pool->seen.size() > most) pool->seen.pop_front();
}

void ShortageFleetModel::Report() {
  const auto tick = static_cast<std::size_t>(now_.time_since_epoch() / kTick);
  const auto period = static_cast<std::size_t>(Duration(1'000) / kTick);
  for (std::size_t i = tick % period; i < daemons_.size(); i += period) {
    const auto report = daemons_[i].Report(now_);
    if (!coordinator_) continue;
    daemons_[i].OnReply(
        coordinator_->OnReport(
            report, [](const std::string&) { return 1.0; }, now_),
        now_);
  }
}

ShortageFleetModel::Result ShortageFleetModel::Run(Duration time) {
  for (auto& pool : pools_) {
    for (auto& [key, caller] : pool.waiting) caller.is_counted = false;
  }
  for (auto& [at, caller] : returning_) caller.is_counted = false;
  result_ = {};
  if (!has_coordinator) coordinator_.reset();
  if (has_coordinator && !coordinator_) {
    coordinator_ = std::make_unique<FleetShortage>(now_);
  }
  for (const auto ends_at = now_ + time; now_ < ends_at; now_ += kTick) {
    Arrive();
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      const auto caller = returning_.begin()->second;
      returning_.erase(returning_.begin());
      Ask(caller);
    }
    for (auto& pool : pools_) Serve(&pool);
    Report();
  }
  return result_;
}

}  // namespace firmoor
