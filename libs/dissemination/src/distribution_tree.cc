#include "dissemination/distribution_tree.h"

#include <set>
#include <utility>

#include "base/hash.h"

namespace firmoor {

void DistributionTree::SetDaemons(
    const std::map<std::string, DaemonLocation>& daemons) {
  if (daemons == daemons_) return;
  daemons_ = daemons;
  regions_.clear();
  std::set<std::pair<std::uint64_t, std::string>> by_hash;
  for (const auto& [name, location] : daemons_) {
    by_hash.emplace(Hash64(name), name);
  }
  for (const auto& [hash, name] : by_hash) {
    const auto& location = daemons_.at(name);
    auto& region = regions_[location.region];
    region.ranks[name] = region.by_rank.size();
    region.by_rank.push_back(location.peer_endpoint);
  }
}

std::vector<Endpoint> DistributionTree::SourcesOf(
    const std::string& daemon, const std::string& region) const {
  const auto found = regions_.find(region);
  if (found == regions_.end()) return {};
  const auto& members = found->second;
  if (members.by_rank.size() <= kMaxDirectReaders) return {};
  const auto position = members.ranks.find(daemon);
  if (position == members.ranks.end()) {
    return {members.by_rank.begin(),
            members.by_rank.begin() + kReadersPerRegion};
  }
  const auto rank = position->second;
  if (rank < kReadersPerRegion) return {};
  const auto parent = (rank - kReadersPerRegion) / kFanOut;
  // When a source is lost, its daemons divide evenly between the store readers.
  auto fallback = rank % kReadersPerRegion;
  if (fallback == parent) fallback = (fallback + 1) % kReadersPerRegion;
  return {members.by_rank[parent], members.by_rank[fallback]};
}

}  // namespace firmoor
