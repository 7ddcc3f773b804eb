#include "reachability/peer_selector.h"

#include <algorithm>
#include <array>
#include <utility>

namespace firmoor {
namespace {

// Daemons that take requests for this one. With all but a quarter of the fleet
// cut off, four of them still serve on average.
constexpr std::size_t kCandidates = 16;
constexpr Duration kCandidateLifetime{1'000};
// How long a daemon is avoided after it refused.
constexpr Duration kUnreachableTime{1'000};
constexpr Duration kBusyTime{300};
constexpr Duration kStoppingTime{2'000};
constexpr Duration kUnsupportedTime{30'000};
// Changes of the configuration reach all daemons within about this time.
constexpr Duration kOutdatedTime{300};
// How long other daemons are preferred after that, so that requests that are
// few reach all candidates in turn.
constexpr Duration kRefusalMemory{10'000};
constexpr Duration kFirstSilenceTime{1'000};
constexpr int kMaxSilenceDoublings = 3;

}  // namespace

std::string_view NameOf(PeerRefusal reason) {
  constexpr std::string_view kNames[] = {"unreachable", "busy",
                                         "stopping",    "unsupported",
                                         "no-response", "outdated"};
  return kNames[static_cast<int>(reason)];
}

PeerSelector::PeerSelector(Location location)
    : location_(std::move(location)) {}

bool PeerSelector::IsRemote(const PeerAddress& peer) const {
  const auto own = location_.regions.find(location_.availability_zone);
  const auto other = location_.regions.find(peer.availability_zone);
  if (own == location_.regions.end() || other == location_.regions.end()) {
    return peer.availability_zone != location_.availability_zone;
  }
  return own->second != other->second;
}

bool PeerSelector::IsAvoided(const std::string& daemon,
                             const std::string& service, TimePoint now) const {
  const auto found = peers_.find(daemon);
  if (found == peers_.end()) return false;
  const auto& peer = found->second;
  if (now < peer.avoided_until) return true;
  const auto of_service = peer.unreachable_until.find(service);
  return of_service != peer.unreachable_until.end() && now < of_service->second;
}

bool PeerSelector::WasUnreachable(const std::string& daemon,
                                  const std::string& service,
                                  TimePoint now) const {
  const auto found = peers_.find(daemon);
  if (found == peers_.end()) return false;
  const auto until = found->second.unreachable_until.find(service);
  return until != found->second.unreachable_until.end() &&
         now < until->second + kRefusalMemory;
}

bool PeerSelector::HasRefused(const std::string& daemon,
                              const std::string& service, TimePoint now) const {
  if (WasUnreachable(daemon, service, now)) return true;
  const auto found = peers_.find(daemon);
  return found != peers_.end() &&
         now < found->second.avoided_until + kRefusalMemory;
}

void PeerSelector::RefreshCandidates(const PeerDirectory& directory,
                                     const std::string& service,
                                     TimePoint now) {
  const bool is_current =
      refreshed_at_ && now - *refreshed_at_ < kCandidateLifetime;
  if (is_current) return;
  const bool all_refused =
      !candidates_.empty() &&
      std::all_of(candidates_.begin(), candidates_.end(),
                  [&](const auto& peer) {
                    return HasRefused(peer.daemon, service, now);
                  });
  if (all_refused) ++generation_;
  refreshed_at_ = now;
  candidates_ =
      directory.HoldersOf(location_.daemon + "/" + std::to_string(generation_),
                          kCandidates, location_.daemon);
  std::erase_if(peers_, [&](const auto& item) {
    return item.second.in_flight == 0 && !directory.Contains(item.first);
  });
}

std::optional<PeerAddress> PeerSelector::Choose(
    const PeerDirectory& directory, const std::string& service,
    std::uint64_t request_hash, const std::set<std::string>& excluded,
    TimePoint now) {
  RefreshCandidates(directory, service, now);
  // By preference.
  std::array<std::vector<const PeerAddress*>, 4> groups;
  for (const auto& peer : candidates_) {
    const bool is_usable = !excluded.contains(peer.daemon) &&
                           directory.Contains(peer.daemon) &&
                           !IsAvoided(peer.daemon, service, now);
    if (!is_usable) continue;
    const bool was_unreachable = WasUnreachable(peer.daemon, service, now);
    groups[(was_unreachable ? 2 : 0) + (IsRemote(peer) ? 1 : 0)].push_back(
        &peer);
  }
  const auto found =
      std::find_if(groups.begin(), groups.end(),
                   [](const auto& group) { return !group.empty(); });
  if (found == groups.end()) return std::nullopt;
  const auto& usable = *found;
  const auto count = static_cast<std::uint64_t>(usable.size());
  const auto* first = usable[request_hash % count];
  const auto* second = usable[(request_hash / count) % count];
  return *(InFlight(second->daemon) < InFlight(first->daemon) ? second : first);
}

std::size_t PeerSelector::InFlight(const std::string& daemon) const {
  const auto found = peers_.find(daemon);
  return found == peers_.end() ? 0 : found->second.in_flight;
}

void PeerSelector::OnSend(const std::string& daemon) {
  ++peers_[daemon].in_flight;
}

void PeerSelector::OnEnd(const std::string& daemon) {
  auto& in_flight = peers_[daemon].in_flight;
  if (in_flight > 0) --in_flight;
}

void PeerSelector::OnAccepted(const std::string& daemon,
                              const std::string& service) {
  auto& peer = peers_[daemon];
  peer.silences = 0;
  peer.avoided_until = {};
  peer.unreachable_until.erase(service);
}

void PeerSelector::OnRefused(const std::string& daemon,
                             const std::string& service, PeerRefusal reason,
                             TimePoint now) {
  auto& peer = peers_[daemon];
  const auto avoid = [&](Duration time) {
    peer.avoided_until = std::max(peer.avoided_until, now + time);
  };
  switch (reason) {
    case PeerRefusal::kUnreachable:
      peer.unreachable_until[service] = now + kUnreachableTime;
      return;
    case PeerRefusal::kBusy:
      return avoid(kBusyTime);
    case PeerRefusal::kStopping:
      return avoid(kStoppingTime);
    case PeerRefusal::kOutdated:
      return avoid(kOutdatedTime);
    case PeerRefusal::kUnsupported:
      return avoid(kUnsupportedTime);
    case PeerRefusal::kNoResponse:
      avoid(kFirstSilenceTime *
            (1 << std::min(peer.silences, kMaxSilenceDoublings)));
      ++peer.silences;
      return;
  }
}

}  // namespace firmoor
