#include "limits/upstream_permits.h"

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

// Replies come every second; after two missing ones the daemon keeps to its
// equal share.
constexpr Duration kCoordinatorTimeout{2'500};
// Fraction of a grant that may be sent at once; the rest follows evenly.
constexpr std::int64_t kBurstDivisor = 4;
// Permits of the equal share that a daemon saves, in seconds of its share. At
// least one, or it could never send.
constexpr double kMaxSharedS = 0.25;
// Smooths the demand over some reports.
constexpr Duration kDemandTimeConstant{4'000};
// Demand below one request in a minute is not reported.
constexpr double kMinReportedPerS = 1.0 / 60;
// Upstreams in a report, which bounds its size when all of a large service
// announce limits. Those that the daemon wants most come first.
constexpr std::size_t kMaxReportedUpstreams = 32;

}  // namespace

UpstreamPermits::UpstreamPermits() : wanted_(kDemandTimeConstant) {}

double UpstreamPermits::EqualShare(double limit) const {
  return limit / static_cast<double>(std::max<std::size_t>(1, daemons_));
}

const UpstreamPermits::State* UpstreamPermits::Find(
    const std::string& id, std::int64_t born_ms) const {
  if (limits_.Find(id, born_ms) == nullptr) return nullptr;
  const auto found = states_.find(id);
  return found == states_.end() ? nullptr : &found->second;
}

UpstreamPermits::State* UpstreamPermits::Find(const std::string& id,
                                              std::int64_t born_ms) {
  return const_cast<State*>(std::as_const(*this).Find(id, born_ms));
}

LimitChange UpstreamPermits::OnResponse(const std::string& id,
                                        std::int64_t born_ms,
                                        std::optional<double> rate_per_s,
                                        TimePoint now) {
  const auto change = limits_.Apply(id, {born_ms, rate_per_s, now});
  if (change == LimitChange::kNone) return change;
  OnChange(id, born_ms, change, now);
  states_[id].unreported = true;
  return change;
}

void UpstreamPermits::OnChange(const std::string& id, std::int64_t born_ms,
                               LimitChange change, TimePoint now) {
  auto& state = states_[id];
  if (change == LimitChange::kChanged && state.born_ms == born_ms) return;
  state = {};
  state.born_ms = born_ms;
  state.shared_at = now;
  wanted_.Remove(id);
}

double UpstreamPermits::LimitOf(const std::string& id,
                                std::int64_t born_ms) const {
  const auto* limit = limits_.Find(id, born_ms);
  return limit == nullptr ? 0 : *limit->rate_per_s;
}

std::int64_t UpstreamPermits::GrantedPermits(const State& state,
                                             TimePoint now) {
  const auto elapsed = now - state.granted_at;
  if (state.granted == 0 || elapsed >= kPermitLifetime) return 0;
  const auto burst = (state.granted + kBurstDivisor - 1) / kBurstDivisor;
  const auto released =
      std::min(state.granted, burst + state.granted * elapsed.count() /
                                          kPermitLifetime.count());
  return std::max<std::int64_t>(0, released - state.used);
}

double UpstreamPermits::SharedPermits(const State& state, double limit,
                                      TimePoint now) const {
  const double share = EqualShare(limit);
  const bool is_older = state.shared_at < coordinated_until_;
  const double level = is_older ? 0 : state.share_level;
  const auto since = std::max(state.shared_at, coordinated_until_);
  const double earned = share * SecondsOf(std::max(Duration(0), now - since));
  return std::min(std::max(1.0, share * kMaxSharedS), level + earned);
}

bool UpstreamPermits::IsAvailable(const std::string& id, std::int64_t born_ms,
                                  TimePoint now) const {
  const auto* state = Find(id, born_ms);
  if (state == nullptr) return true;
  if (IsCoordinated(now)) return GrantedPermits(*state, now) > 0;
  return SharedPermits(*state, LimitOf(id, born_ms), now) >= 1;
}

bool UpstreamPermits::TryTake(const std::string& id, std::int64_t born_ms,
                              TimePoint now) {
  if (!IsAvailable(id, born_ms, now)) return false;
  auto* state = Find(id, born_ms);
  if (state == nullptr) return true;
  if (IsCoordinated(now)) {
    ++state->used;
    return true;
  }
  state->share_level = SharedPermits(*state, LimitOf(id, born_ms), now) - 1;
  state->shared_at = now;
  return true;
}

void UpstreamPermits::Return(const std::string& id, std::int64_t born_ms) {
  auto* state = Find(id, born_ms);
  if (state != nullptr && state->used > 0) --state->used;
}

void UpstreamPermits::RecordDemand(const std::string& id, std::int64_t born_ms,
                                   TimePoint now) {
  if (Find(id, born_ms) != nullptr) wanted_.Add(id, 1, now);
}

void UpstreamPermits::RecordWaiting(const std::string& id,
                                    std::int64_t born_ms) {
  if (auto* state = Find(id, born_ms)) ++state->waiting;
}

bool UpstreamPermits::MayObtain(const std::string& id, std::int64_t born_ms,
                                TimePoint now) const {
  const auto* state = Find(id, born_ms);
  return state != nullptr && IsCoordinated(now) && now >= state->next_at;
}

TimePoint UpstreamPermits::NextAvailableTime(const std::string& id,
                                             std::int64_t born_ms,
                                             TimePoint now) const {
  const auto* state = Find(id, born_ms);
  if (state == nullptr || IsAvailable(id, born_ms, now)) return now;
  if (IsCoordinated(now)) {
    const auto paced =
        now + kPermitLifetime / std::max<std::int64_t>(1, state->granted);
    const bool has_paced = state->used < state->granted &&
                           paced < state->granted_at + kPermitLifetime;
    return has_paced ? paced : std::max(now, state->next_at);
  }
  const double limit = LimitOf(id, born_ms);
  const double missing = 1 - SharedPermits(*state, limit, now);
  return now + DurationOfSeconds(missing / EqualShare(limit));
}

double UpstreamPermits::DaemonRate(const std::string& id, std::int64_t born_ms,
                                   TimePoint now) const {
  const auto* state = Find(id, born_ms);
  if (state == nullptr) return 0;
  const double share = EqualShare(LimitOf(id, born_ms));
  // Zero until the coordinator has told how much others want.
  return IsCoordinated(now) && state->rate_per_s > 0 ? state->rate_per_s
                                                     : share;
}

UpstreamLimitReports UpstreamPermits::Report(TimePoint now) {
  RemoveForgotten(now);
  std::vector<std::pair<double, std::string>> wanted;
  for (const auto& [id, state] : states_) {
    const bool has_unused =
        state.used < state.granted && now < state.granted_at + kPermitLifetime;
    const double rate = wanted_.RateOf(id, now);
    if (rate >= kMinReportedPerS || state.waiting > 0 || state.unreported ||
        has_unused) {
      wanted.emplace_back(rate, id);
    }
  }
  std::sort(wanted.rbegin(), wanted.rend());
  if (wanted.size() > kMaxReportedUpstreams) {
    wanted.resize(kMaxReportedUpstreams);
  }
  UpstreamLimitReports reports;
  reports.term = term_;
  reports.cursor = cursor_;
  for (const auto& [rate, id] : wanted) {
    const auto limit = limits_.all().find(id);
    if (limit == limits_.all().end()) continue;
    auto& state = states_[id];
    const auto unused = state.granted - state.used;
    reports.upstreams[id] = {
        limit->second.born_ms,
        limit->second.rate_per_s,
        std::max(Duration(0), now - limit->second.announced_at),
        rate >= kMinReportedPerS ? rate : 0,
        std::exchange(state.waiting, 0),
        std::max<std::int64_t>(0, unused)};
    state.granted = 0;
    state.used = 0;
  }
  slots_.AddTo(&reports, now);
  return reports;
}

void UpstreamPermits::ApplyGrant(const std::string& id,
                                 const UpstreamLimitGrant& grant,
                                 TimePoint sent_at) {
  auto* state = Find(id, grant.born_ms);
  if (state == nullptr) return;
  state->granted = grant.permits;
  state->used = 0;
  state->granted_at = sent_at;
  state->next_at = sent_at + grant.next_in;
  state->rate_per_s = grant.daemon_rate_per_s;
}

std::vector<UpstreamPermits::Update> UpstreamPermits::OnReply(
    const UpstreamLimitReply& reply, TimePoint sent_at, TimePoint now) {
  std::vector<Update> updates;
  if (reply.term == 0) return updates;
  const bool is_new_term = std::exchange(term_, reply.term) != reply.term;
  cursor_ = reply.cursor;
  for (const auto& [id, grant] : reply.upstreams) {
    const double before = LimitOf(id, grant.born_ms);
    const auto change = limits_.Apply(
        id, {grant.born_ms, grant.rate_per_s, sent_at - grant.age});
    if (change != LimitChange::kNone) {
      OnChange(id, grant.born_ms, change, now);
      updates.push_back({id, grant.born_ms, change,
                         grant.rate_per_s.value_or(0), before, grant.age});
    }
    const auto state = states_.find(id);
    const auto known = limits_.all().find(id);
    if (state != states_.end() && known != limits_.all().end()) {
      state->second.unreported = known->second.rate_per_s != grant.rate_per_s;
    }
    if (reply.grants_permits) ApplyGrant(id, grant, sent_at);
  }
  if (is_new_term) {
    for (auto& [id, state] : states_) {
      if (!reply.upstreams.contains(id)) state.unreported = true;
    }
  }
  if (reply.grants_permits) coordinated_until_ = sent_at + kCoordinatorTimeout;
  return updates;
}

void UpstreamPermits::RemoveForgotten(TimePoint now) {
  for (const auto& id : limits_.RemoveForgotten(now)) {
    states_.erase(id);
    wanted_.Remove(id);
  }
}

}  // namespace firmoor
