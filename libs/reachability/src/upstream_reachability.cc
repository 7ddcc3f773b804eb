#include "reachability/upstream_reachability.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace firmoor {
namespace {

// Upstreams probed to confirm a suspicion, besides the one that raised it, and
// in each further round. One in three packets may be lost on the way to each of
// them.
constexpr std::size_t kConfirmingProbes = 4;
constexpr std::size_t kRepeatedProbes = 8;
// Rounds of probes that have to fail. Silence raises a suspicion as easily as a
// failure: on links that lose packets, a single round confirms it by chance.
constexpr int kRoundsAfterFailure = 2;
constexpr int kRoundsAfterSilence = 2;
constexpr int kRoundsDespiteContact = 4;
// Within this time of the last contact, a single silent upstream says nothing
// about the links.
constexpr Duration kRecentContact{250};
// Time between two suspicions of a service, to bound the cost of probes.
constexpr Duration kSuspicionInterval{500};
// A probe that failed later than this was delayed by a standstill.
constexpr Duration kMaxProbeTime{1'000};
// Interval between probes while a service is unreachable.
constexpr Duration kFirstProbeInterval{250};
constexpr Duration kMaxProbeInterval{1'000};
// A service that is lost again within this time after a loss stays lost for
// longer, so that links that come and go do not swing the fleet's load.
constexpr Duration kFlapWindow{10'000};
constexpr Duration kFirstHoldTime{500};
constexpr int kMaxHoldDoublings = 3;
// Requests return in steps over this time.
constexpr Duration kRecoveryTime{1'000};
constexpr double kFirstDirectShare = 0.25;
// A daemon that lost one service checks others without a connection for longer.
constexpr Duration kStaleConnection{1'000};

}  // namespace

std::string_view NameOf(ReachabilityState state) {
  constexpr std::string_view kNames[] = {"reachable", "suspected",
                                         "unreachable", "recovering"};
  return kNames[static_cast<int>(state)];
}

void UpstreamReachability::SetUpstreams(
    std::map<std::string, Upstream> upstreams) {
  upstreams_ = std::move(upstreams);
  for (auto& [name, service] : services_) {
    const auto is_gone = [this](const auto& id) {
      return !upstreams_.contains(id);
    };
    std::erase_if(service.due_probes, is_gone);
    std::erase_if(service.open_probes,
                  [&](const auto& item) { return is_gone(item.first); });
    const bool is_void =
        service.state == ReachabilityState::kUnreachable &&
        !service.failed.empty() &&
        std::all_of(service.failed.begin(), service.failed.end(), is_gone);
    if (!is_void) continue;
    // All that failed are gone; nothing is known of the present ones.
    service.failed.clear();
    service.first_failure.reset();
    service.due_probes.clear();
    service.open_probes.clear();
    service.next_probe = {};
    SetState(name, &service, ReachabilityState::kReachable,
             service.state_since);
  }
}

UpstreamReachability::Service* UpstreamReachability::ServiceOf(
    const std::string& upstream) {
  const auto found = upstreams_.find(upstream);
  return found == upstreams_.end() ? nullptr
                                   : &services_[found->second.service];
}

const UpstreamReachability::Service* UpstreamReachability::Find(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::vector<std::string> UpstreamReachability::UpstreamsOf(
    const std::string& name) const {
  std::vector<std::string> ids;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.service == name) ids.push_back(id);
  }
  return ids;
}

void UpstreamReachability::OnContact(const std::string& upstream,
                                     TimePoint now) {
  if (auto* service = ServiceOf(upstream)) service->last_contact = now;
}

void UpstreamReachability::OnConnected(const std::string& upstream,
                                       TimePoint opened_at, TimePoint now) {
  auto* service = ServiceOf(upstream);
  if (service == nullptr) return;
  service->last_contact = now;
  const bool is_outdated =
      service->evidence_since && opened_at < *service->evidence_since;
  if (is_outdated) return;
  service->last_connected = now;
  if (service->state == ReachabilityState::kReachable) {
    service->failed.clear();
    service->first_failure.reset();
    service->evidence_since.reset();
    return;
  }
  Refute(upstreams_.at(upstream).service, service, now);
}

void UpstreamReachability::Refute(const std::string& name, Service* service,
                                  TimePoint now) {
  const bool was_lost = service->state == ReachabilityState::kUnreachable;
  const bool recovers = service->state == ReachabilityState::kRecovering;
  if (recovers) return;
  const bool returns = was_lost || service->was_recovering;
  service->due_probes.clear();
  service->open_probes.clear();
  service->next_probe = now + kSuspicionInterval;
  SetState(
      name, service,
      returns ? ReachabilityState::kRecovering : ReachabilityState::kReachable,
      now);
  service->failed.clear();
  service->first_failure.reset();
  service->evidence_since.reset();
}

void UpstreamReachability::RecordFailure(const std::string& upstream,
                                         Service* service, TimePoint now) {
  service->failed.insert(upstream);
  if (!service->first_failure) service->first_failure = now;
  if (!service->evidence_since) service->evidence_since = now;
}

bool UpstreamReachability::MaySuspect(const Service& service,
                                      TimePoint now) const {
  const bool is_trusted = service.state == ReachabilityState::kReachable ||
                          service.state == ReachabilityState::kRecovering;
  return is_trusted && now >= service.next_probe;
}

void UpstreamReachability::OnConnectFailure(const std::string& upstream,
                                            TimePoint now) {
  auto* service = ServiceOf(upstream);
  if (service == nullptr) return;
  const auto name = upstreams_.at(upstream).service;
  const bool starts = MaySuspect(*service, now);
  if (starts) StartSuspicion(name, service, kRoundsAfterFailure, now);
  RecordFailure(upstream, service, now);
  if (starts) OpenRound(name, service);
}

void UpstreamReachability::OnBroken(const std::string& upstream,
                                    TimePoint now) {
  auto* service = ServiceOf(upstream);
  if (service == nullptr || !MaySuspect(*service, now)) return;
  const auto name = upstreams_.at(upstream).service;
  StartSuspicion(name, service, kRoundsAfterFailure, now);
  service->due_probes.insert(upstream);
  OpenRound(name, service);
}

void UpstreamReachability::OnSilence(const std::string& upstream,
                                     TimePoint silent_since, TimePoint now) {
  auto* service = ServiceOf(upstream);
  if (service == nullptr || !MaySuspect(*service, now)) return;
  const bool others_live = service->last_contact &&
                           *service->last_contact > silent_since &&
                           now - *service->last_contact < kRecentContact;
  if (others_live) return;
  const auto name = upstreams_.at(upstream).service;
  StartSuspicion(name, service, kRoundsAfterSilence, now);
  service->due_probes.insert(upstream);
  OpenRound(name, service);
}

void UpstreamReachability::OnStandstill() {
  for (auto& [name, service] : services_) {
    service.failed.clear();
    service.first_failure.reset();
    if (service.state != ReachabilityState::kUnreachable) {
      service.evidence_since.reset();
    }
    if (service.state != ReachabilityState::kSuspected) continue;
    service.due_probes.clear();
    service.open_probes.clear();
    // The time of the last change is kept: nothing was learned since.
    SetState(name, &service, ReachabilityState::kReachable,
             service.state_since);
  }
}

void UpstreamReachability::StartSuspicion(const std::string& name,
                                          Service* service, int needed_rounds,
                                          TimePoint now) {
  service->failed.clear();
  service->first_failure.reset();
  service->evidence_since = now;
  service->rounds = 0;
  service->needed_rounds = needed_rounds;
  service->was_recovering = service->state == ReachabilityState::kRecovering;
  SetState(name, service, ReachabilityState::kSuspected, now);
}

void UpstreamReachability::OpenRound(const std::string& name,
                                     Service* service) {
  auto ids = UpstreamsOf(name);
  std::erase_if(ids, [service](const auto& id) {
    return service->due_probes.contains(id) ||
           service->open_probes.contains(id);
  });
  ++service->rounds;
  ++probe_count_;
  std::sort(ids.begin(), ids.end(), [this](const auto& a, const auto& b) {
    return Hash64(a, probe_count_) < Hash64(b, probe_count_);
  });
  // Upstreams that have not failed first, and of these one of each availability
  // zone: a zone may be down.
  std::map<std::string, int> of_zone;
  std::vector<std::tuple<bool, int, std::string>> order;
  order.reserve(ids.size());
  for (const auto& id : ids) {
    order.emplace_back(service->failed.contains(id),
                       of_zone[upstreams_.at(id).availability_zone]++, id);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) {
                     return std::tie(std::get<0>(a), std::get<1>(a)) <
                            std::tie(std::get<0>(b), std::get<1>(b));
                   });
  const auto most = service->rounds == 1 ? kConfirmingProbes : kRepeatedProbes;
  if (order.size() > most) order.resize(most);
  for (const auto& [has_failed, turn, id] : order) {
    service->due_probes.insert(id);
  }
}

int UpstreamReachability::NeededRounds(const Service& service) {
  const bool others_live = service.last_contact && service.evidence_since &&
                           *service.last_contact > *service.evidence_since;
  return others_live ? kRoundsDespiteContact : service.needed_rounds;
}

void UpstreamReachability::OnProbeResult(const std::string& upstream,
                                         bool connected, TimePoint now) {
  auto* service = ServiceOf(upstream);
  if (service == nullptr) return;
  const auto probe = service->open_probes.extract(upstream);
  if (probe.empty()) return;
  if (connected) return OnConnected(upstream, now, now);
  if (now - probe.mapped() > kMaxProbeTime) {
    service->due_probes.insert(upstream);
    return;
  }
  RecordFailure(upstream, service, now);
  if (service->state != ReachabilityState::kSuspected) return;
  const auto name = upstreams_.at(upstream).service;
  if (!service->due_probes.empty() || !service->open_probes.empty()) return;
  if (service->rounds < NeededRounds(*service)) return OpenRound(name, service);
  OnLost(name, service, now);
}

void UpstreamReachability::ReplaceProbes(const std::string& name,
                                         Service* service, TimePoint now) {
  if (UpstreamsOf(name).empty()) return Refute(name, service, now);
  OpenRound(name, service);
}

void UpstreamReachability::OnLost(const std::string& name, Service* service,
                                  TimePoint now) {
  const bool flaps =
      service->last_loss && now - *service->last_loss < kFlapWindow;
  service->recent_losses = flaps ? service->recent_losses + 1 : 0;
  service->last_loss = now;
  service->backoff = kFirstProbeInterval;
  const int doublings = std::min(service->recent_losses, kMaxHoldDoublings);
  service->next_probe =
      now + (service->recent_losses == 0 ? kFirstProbeInterval
                                         : kFirstHoldTime * (1 << doublings));
  SetState(name, service, ReachabilityState::kUnreachable, now);
  for (auto& [other_name, other] : services_) {
    const bool is_stale =
        !other.last_connected || now - *other.last_connected > kStaleConnection;
    if (!is_stale || !MaySuspect(other, now)) continue;
    const auto ids = UpstreamsOf(other_name);
    if (ids.empty()) continue;
    StartSuspicion(other_name, &other, kRoundsAfterSilence, now);
    other.due_probes.insert(ids[++probe_count_ % ids.size()]);
  }
}

std::vector<std::string> UpstreamReachability::TakeDueProbes(TimePoint now) {
  std::vector<std::string> probes;
  for (auto& [name, service] : services_) {
    if (service.state == ReachabilityState::kRecovering &&
        now - service.state_since >= kRecoveryTime) {
      SetState(name, &service, ReachabilityState::kReachable, now);
    }
    const bool has_lost_probes =
        service.state == ReachabilityState::kSuspected &&
        service.due_probes.empty() && service.open_probes.empty();
    if (has_lost_probes) ReplaceProbes(name, &service, now);
    const bool is_due = service.state == ReachabilityState::kUnreachable &&
                        service.open_probes.empty() &&
                        now >= service.next_probe;
    if (is_due) {
      const auto ids = UpstreamsOf(name);
      if (!ids.empty()) {
        service.due_probes.insert(ids[++probe_count_ % ids.size()]);
      }
      service.next_probe = now + service.backoff;
      service.backoff = std::min(service.backoff * 2, kMaxProbeInterval);
    }
    for (const auto& id : std::exchange(service.due_probes, {})) {
      service.open_probes[id] = now;
      probes.push_back(id);
    }
  }
  return probes;
}

std::optional<TimePoint> UpstreamReachability::NextProbeTime() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [name, service] : services_) {
    if (service.state == ReachabilityState::kUnreachable) {
      consider(service.next_probe);
    } else if (service.state == ReachabilityState::kRecovering) {
      consider(service.state_since + kRecoveryTime);
    }
  }
  return next;
}

ReachabilityState UpstreamReachability::StateOf(
    const std::string& service) const {
  const auto* found = Find(service);
  return found == nullptr ? ReachabilityState::kReachable : found->state;
}

double UpstreamReachability::DirectShare(const Service& service,
                                         TimePoint now) {
  constexpr int kSteps = 4;
  const auto step = std::min<std::int64_t>(
      kSteps - 1, kSteps * (now - service.state_since) / kRecoveryTime);
  return kFirstDirectShare * static_cast<double>(step + 1);
}

bool UpstreamReachability::SendsDirectly(const std::string& service,
                                         std::uint64_t request_hash,
                                         TimePoint now) const {
  const auto* found = Find(service);
  if (found == nullptr) return true;
  if (found->state == ReachabilityState::kUnreachable) return false;
  if (found->state == ReachabilityState::kSuspected) {
    return !found->was_recovering;
  }
  if (found->state == ReachabilityState::kReachable) return true;
  constexpr std::uint64_t kBuckets = 100;
  return static_cast<double>(request_hash % kBuckets) <
         DirectShare(*found, now) * static_cast<double>(kBuckets);
}

std::optional<TimePoint> UpstreamReachability::LastContact(
    const std::string& service) const {
  const auto* found = Find(service);
  return found == nullptr ? std::nullopt : found->last_contact;
}

std::optional<TimePoint> UpstreamReachability::UnreachableSince(
    const std::string& service) const {
  const auto* found = Find(service);
  const bool is_lost =
      found != nullptr && found->state == ReachabilityState::kUnreachable;
  return is_lost ? std::optional(found->state_since) : std::nullopt;
}

std::vector<std::string> UpstreamReachability::UnreachableServices() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : services_) {
    if (service.state == ReachabilityState::kUnreachable) names.push_back(name);
  }
  return names;
}

Duration UpstreamReachability::TotalUnreachableTime(TimePoint now) const {
  Duration total{0};
  for (const auto& [name, service] : services_) {
    total += service.unreachable_time;
    if (service.state == ReachabilityState::kUnreachable) {
      total += now - service.state_since;
    }
  }
  return total;
}

void UpstreamReachability::SetState(const std::string& name, Service* service,
                                    ReachabilityState state, TimePoint now) {
  ReachabilityChange change;
  change.service = name;
  change.before = service->state;
  change.after = state;
  change.failed.assign(service->failed.begin(), service->failed.end());
  change.listed = UpstreamsOf(name).size();
  if (service->last_contact) change.contact_age = now - *service->last_contact;
  if (service->first_failure) {
    change.first_failure_age = now - *service->first_failure;
  }
  changes_.push_back(std::move(change));
  if (service->state == ReachabilityState::kUnreachable) {
    service->unreachable_time += now - service->state_since;
  }
  service->state = state;
  service->state_since = now;
}

std::vector<ReachabilityChange> UpstreamReachability::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace firmoor
