#include "limits/upstream_slots.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/hash.h"

namespace firmoor {
namespace {

// The coordinator keeps the room of a daemon that does not report for longer
// (SlotPool).
constexpr Duration kSlotLifetime{6'000};
// Requests that were sent with slots end before others are sent without.
constexpr Duration kDrainTime{2'000};
// A daemon without a coordinator has slots for a part of these turns.
constexpr Duration kSharedTurn{2'000};
// Part of the room that daemons use without a coordinator: how many of them
// have slots at once varies.
constexpr double kSharedFraction = 0.5;
// Refused slots are not asked for early again for this time.
constexpr Duration kRefusalTime{400};
// After a rejection, at most this time passes without a reply.
constexpr Duration kMaxPause{2'000};
// An upstream rejects a request within this time.
constexpr Duration kRejectionTime{50};
// A daemon that uses brittle upstreams hears of rejections of others within
// this time.
constexpr Duration kReportPeriod{250};
// Bounds what requests without a slot add to the demand.
constexpr std::int64_t kMaxDenied = 16;
// Upstreams in a report, which bounds its size. Those in use come first.
constexpr std::size_t kMaxReportedUpstreams = 32;
// Services in a report.
constexpr std::size_t kMaxReportedServices = 16;

}  // namespace

LimitChange UpstreamSlots::OnResponse(const std::string& service,
                                      std::optional<double> rejection_tolerance,
                                      TimePoint now) {
  return brittle_.Apply(service, {0, rejection_tolerance, now});
}

bool UpstreamSlots::IsBrittle(const std::string& service) const {
  return brittle_.Find(service, 0) != nullptr;
}

bool UpstreamSlots::IsCoordinated(TimePoint now) const {
  return coordinated_at_ && now - *coordinated_at_ < kSlotLifetime;
}

const UpstreamSlots::State* UpstreamSlots::Find(
    const Upstream& upstream) const {
  const auto found = states_.find(upstream.id);
  const bool is_current =
      found != states_.end() && found->second.born_ms == upstream.born_ms;
  return is_current ? &found->second : nullptr;
}

UpstreamSlots::State& UpstreamSlots::Obtain(const Upstream& upstream) {
  auto& state = states_[upstream.id];
  if (state.born_ms != upstream.born_ms) {
    // Requests to the previous run are still to end here.
    const auto in_flight = state.in_flight;
    state = {};
    state.born_ms = upstream.born_ms;
    state.in_flight = in_flight;
  }
  state.room = upstream.room;
  state.service = upstream.service;
  return state;
}

std::int64_t UpstreamSlots::SharedSlots(const Upstream& upstream,
                                        TimePoint now) const {
  const bool drains =
      coordinated_at_ && now - *coordinated_at_ < kSlotLifetime + kDrainTime;
  if (drains) return 0;
  const double share = kSharedFraction * static_cast<double>(upstream.room) /
                       static_cast<double>(std::max<std::size_t>(1, daemons_));
  if (share >= 1) return static_cast<std::int64_t>(share);
  const auto turn =
      static_cast<std::uint64_t>(now.time_since_epoch() / kSharedTurn);
  const auto pick = Hash64(upstream.id, Hash64(daemon_, turn));
  constexpr auto kRange =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(pick) / kRange < share ? 1 : 0;
}

std::int64_t UpstreamSlots::SlotsOf(const Upstream& upstream,
                                    TimePoint now) const {
  const auto* state = Find(upstream);
  if (IsCoordinated(now)) return state == nullptr ? 0 : state->slots;
  if (state != nullptr && state->rejected_at &&
      now - *state->rejected_at < kSharedTurn) {
    return 0;
  }
  return SharedSlots(upstream, now);
}

bool UpstreamSlots::IsPaused(const std::string& service, TimePoint now) const {
  const auto found = rejections_.find(service);
  return found != rejections_.end() && now - found->second.at < kMaxPause;
}

bool UpstreamSlots::IsPaced(const Upstream& upstream, const State& state,
                            TimePoint now) const {
  const auto* limit = brittle_.Find(upstream.service, 0);
  const auto on_the_way =
      std::count_if(state.sent_at.begin(), state.sent_at.end(),
                    [now](TimePoint at) { return now - at < kRejectionTime; });
  return limit != nullptr &&
         static_cast<double>(on_the_way) >= std::max(1.0, *limit->rate_per_s);
}

bool UpstreamSlots::IsAvailable(const Upstream& upstream, TimePoint now) const {
  if (!IsBrittle(upstream.service)) return true;
  if (IsPaused(upstream.service, now)) return false;
  const auto* state = Find(upstream);
  if (state != nullptr && IsPaced(upstream, *state, now)) return false;
  const auto in_flight = state == nullptr ? 0 : state->in_flight;
  return in_flight < SlotsOf(upstream, now);
}

void UpstreamSlots::RecordDenied(const Upstream& upstream) {
  if (!IsBrittle(upstream.service)) return;
  auto& state = Obtain(upstream);
  state.denied = std::min(kMaxDenied, state.denied + 1);
}

bool UpstreamSlots::MayObtain(const Upstream& upstream, TimePoint now) const {
  if (!IsBrittle(upstream.service) || !IsCoordinated(now)) return false;
  const auto* state = Find(upstream);
  return state == nullptr || !state->refused_at ||
         now - *state->refused_at >= kRefusalTime;
}

TimePoint UpstreamSlots::NextAvailableTime(const Upstream& upstream,
                                           TimePoint now) const {
  return IsAvailable(upstream, now) ? now : now + kRefusalTime;
}

void UpstreamSlots::OnSend(const Upstream& upstream, TimePoint now) {
  auto& state = Obtain(upstream);
  ++state.in_flight;
  std::erase_if(state.sent_at,
                [now](TimePoint at) { return now - at >= kRejectionTime; });
  if (IsBrittle(upstream.service)) state.sent_at.push_back(now);
  state.peak = std::max(state.peak, state.in_flight);
}

void UpstreamSlots::OnEnd(const std::string& id, bool rejected, TimePoint now) {
  const auto found = states_.find(id);
  if (found == states_.end()) return;
  auto& state = found->second;
  state.in_flight = std::max<std::int64_t>(0, state.in_flight - 1);
  if (!IsBrittle(state.service)) {
    if (state.in_flight == 0) states_.erase(found);
    return;
  }
  if (!rejected) return;
  ++state.rejected;
  state.rejected_at = now;
  state.rejected_since_report = true;
  state.slots = std::min(state.slots, state.in_flight);
  rejections_[state.service] = {now, false};
}

bool UpstreamSlots::NeedsEarlyReport(const std::string& id,
                                     TimePoint now) const {
  const auto found = states_.find(id);
  if (found == states_.end() || !IsBrittle(found->second.service)) return false;
  const auto& state = found->second;
  return state.rejected_since_report || now - reported_at_ >= kReportPeriod ||
         (state.is_contested && state.slots > state.in_flight);
}

std::int64_t UpstreamSlots::InFlight(const std::string& service) const {
  std::int64_t in_flight = 0;
  for (const auto& [id, state] : states_) {
    if (state.service == service) in_flight += state.in_flight;
  }
  return in_flight;
}

void UpstreamSlots::AddTo(UpstreamLimitReports* reports, TimePoint now) {
  reports->keeps_slots = true;
  reports->number = ++number_;
  reported_at_ = now;
  brittle_.RemoveForgotten(now);
  for (const auto& [service, announced] : brittle_.all()) {
    if (reports->brittle.size() == kMaxReportedServices) break;
    reports->brittle[service] = {
        announced.rate_per_s,
        std::max(Duration(0), now - announced.announced_at)};
  }
  if (brittle_.InForceCount() == 0) {
    std::erase_if(states_,
                  [](const auto& item) { return item.second.in_flight == 0; });
    return;
  }
  for (auto& [service, rejection] : rejections_) rejection.is_reported = true;
  std::vector<std::pair<std::int64_t, std::string>> used;
  for (auto& [id, state] : states_) {
    state.has_asked = false;
    if (state.is_contested) state.peak = state.in_flight;
    state.slots = std::min(state.slots, std::max(state.peak, state.in_flight));
    constexpr std::int64_t kInUse = 1'000'000;  // Above any demand.
    const auto demand = state.peak + state.denied + state.rejected;
    const bool is_used =
        state.in_flight > 0 || state.slots > 0 || state.has_claim;
    if (is_used || demand > 0) {
      used.emplace_back(demand + (is_used ? kInUse : 0), id);
    }
  }
  std::sort(used.rbegin(), used.rend());
  if (used.size() > kMaxReportedUpstreams) used.resize(kMaxReportedUpstreams);
  for (const auto& [rank, id] : used) {
    auto& state = states_[id];
    state.has_asked = state.denied > 0;
    state.has_claim = state.slots + state.peak + state.denied > 0;
    reports->slots[id] = {state.born_ms,
                          state.room,
                          state.in_flight,
                          state.slots,
                          state.peak + std::exchange(state.denied, 0),
                          std::exchange(state.rejected, 0),
                          state.service};
    state.peak = state.in_flight;
    state.rejected_since_report = false;
  }
  std::erase_if(states_, [now](const auto& item) {
    const auto& state = item.second;
    const auto is_recent = [now](const std::optional<TimePoint>& at) {
      return at && now - *at < kSlotLifetime;
    };
    return state.in_flight == 0 && state.slots == 0 && state.peak == 0 &&
           state.denied == 0 && !state.has_claim &&
           !is_recent(state.rejected_at) && !is_recent(state.refused_at);
  });
}

std::vector<UpstreamSlots::Update> UpstreamSlots::OnReply(
    const UpstreamLimitReply& reply, TimePoint sent_at) {
  std::vector<Update> updates;
  for (const auto& [service, report] : reply.brittle) {
    const auto change = brittle_.Apply(
        service, {0, report.rejection_tolerance, sent_at - report.age});
    if (change == LimitChange::kNone) continue;
    updates.push_back(
        {service, change, report.rejection_tolerance, report.age});
  }
  if (!reply.grants_permits || !reply.grants_slots) return updates;
  coordinated_at_ = sent_at;
  // A later report has told of other slots than this reply was made for.
  if (reply.number != number_) return updates;
  std::erase_if(rejections_,
                [](const auto& item) { return item.second.is_reported; });
  for (const auto& [id, grant] : reply.slots) {
    const auto found = states_.find(id);
    if (found == states_.end() || found->second.born_ms != grant.born_ms) {
      continue;
    }
    auto& state = found->second;
    if (state.rejected_since_report) continue;
    state.rejected_at.reset();
    state.slots = grant.slots;
    state.has_claim |= grant.slots > 0;
    state.is_contested = grant.is_contested;
    state.refused_at.reset();
    if (state.has_asked && grant.slots <= state.in_flight) {
      state.refused_at = sent_at;
    }
  }
  return updates;
}

}  // namespace firmoor
