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
  for (const auto& [name, place] : daemons_) {
    by_hash.emplace(Hash64(name), name);
  }
  for (const auto& [hash, name] : by_hash) {
    const auto& place = daemons_.at(name);
    auto& region = regions_[place.region];
    region.ranks[name] = region.in_order.size();
    region.in_order.push_back(place.peer_endpoint);
  }
}

std::vector<Endpoint> DistributionTree::SourcesOf(
    const std::string& daemon, const std::string& region) const {
  const auto found = regions_.find(region);
  if (found == regions_.end()) return {};
  const auto& readers = found->second;
  if (readers.in_order.size() <= kMaxDirectReaders) return {};
  const auto own = readers.ranks.find(daemon);
  if (own == readers.ranks.end()) {
    return {readers.in_order.begin(),
            readers.in_order.begin() + kReadersPerRegion};
  }
  const auto rank = own->second;
  if (rank < kReadersPerRegion) return {};
  const auto parent = (rank - kReadersPerRegion) / kFanOut;
  // Half of the daemons below a lost one go to each reader.
  auto other = rank % kReadersPerRegion;
  if (other == parent) other = (other + 1) % kReadersPerRegion;
  return {readers.in_order[parent], readers.in_order[other]};
}

}  // namespace firmoor
