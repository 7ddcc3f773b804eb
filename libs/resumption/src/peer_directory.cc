#include "resumption/peer_directory.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "base/hash.h"

namespace firmoor {
namespace {

// Well beyond the time for which any stream can be resumed.
constexpr Duration kDepartedRetention{300'000};

/// The best `count` of `peers` for `key`, those from different zones first.
std::vector<PeerAddress> ChooseHolders(
    const std::vector<const PeerAddress*>& peers, std::string_view key,
    std::size_t count) {
  const auto seed = Hash64(key);
  std::vector<std::pair<std::uint64_t, const PeerAddress*>> ranked;
  ranked.reserve(peers.size());
  for (const auto* peer : peers) {
    ranked.emplace_back(Hash64(peer->daemon, seed), peer);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->daemon > b.second->daemon;
  });
  std::set<std::string_view> used_zones;
  std::stable_partition(
      ranked.begin(), ranked.end(), [&used_zones](const auto& item) {
        return used_zones.insert(item.second->availability_zone).second;
      });
  std::vector<PeerAddress> holders;
  for (const auto& [rank, peer] : ranked) {
    if (holders.size() == count) break;
    holders.push_back(*peer);
  }
  return holders;
}

}  // namespace

void PeerDirectory::Add(const PeerAddress& peer) {
  entries_[peer.daemon] = {peer, std::nullopt, std::nullopt};
}

void PeerDirectory::Remove(const std::string& daemon, TimePoint now) {
  const auto found = entries_.find(daemon);
  if (found != entries_.end() && !found->second.departed_at) {
    found->second.departed_at = now;
  }
  std::erase_if(entries_, [now](const auto& item) {
    const auto& departed_at = item.second.departed_at;
    return departed_at && now - *departed_at > kDepartedRetention;
  });
}

void PeerDirectory::ExpectConfirmation(TimePoint now) {
  for (auto& [daemon, entry] : entries_) {
    if (!entry.unconfirmed_since) entry.unconfirmed_since = now;
  }
}

void PeerDirectory::RemoveUnconfirmed(TimePoint now) {
  for (auto& [daemon, entry] : entries_) {
    const bool is_due = !entry.departed_at && entry.unconfirmed_since &&
                        now - *entry.unconfirmed_since >= kConfirmationTime;
    if (is_due) entry.departed_at = now;
  }
}

std::vector<const PeerAddress*> PeerDirectory::Present(
    const std::string& excluded) const {
  std::vector<const PeerAddress*> peers;
  peers.reserve(entries_.size());
  for (const auto& [daemon, entry] : entries_) {
    if (!entry.departed_at && daemon != excluded) peers.push_back(&entry.peer);
  }
  return peers;
}

std::vector<PeerAddress> PeerDirectory::HoldersOf(
    std::string_view key, std::size_t count,
    const std::string& excluded) const {
  return ChooseHolders(Present(excluded), key, count);
}

bool PeerDirectory::HeldBySince(std::string_view key, std::size_t count,
                                const std::string& daemon,
                                TimePoint since) const {
  if (!Contains(daemon)) return false;
  std::vector<const PeerAddress*> peers;
  peers.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    if (!entry.departed_at || *entry.departed_at >= since) {
      peers.push_back(&entry.peer);
    }
  }
  const auto holders = ChooseHolders(peers, key, count);
  return std::any_of(holders.begin(), holders.end(), [&](const auto& holder) {
    return holder.daemon == daemon;
  });
}

std::size_t PeerDirectory::size() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& item) { return !item.second.departed_at; }));
}

bool PeerDirectory::Contains(const std::string& daemon) const {
  const auto found = entries_.find(daemon);
  return found != entries_.end() && !found->second.departed_at;
}

}  // namespace firmoor
