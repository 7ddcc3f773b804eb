#include "dissemination/reading_tree.h"

namespace firmoor {

void ReadingTree::SetDaemons(
    const std::map<std::string, DaemonPlace>& daemons) {
  if (daemons == daemons_) return;
  daemons_ = daemons;
  zones_.clear();
  for (const auto& [name, place] : daemons_) {
    auto& zone = zones_[place.availability_zone];
    zone.ranks[name] = zone.in_order.size();
    zone.in_order.push_back(place.peers);
  }
}

std::vector<Endpoint> ReadingTree::SourcesOf(
    const std::string& daemon, const std::string& availability_zone) const {
  const auto found = zones_.find(availability_zone);
  if (found == zones_.end()) return {};
  const auto& zone = found->second;
  if (zone.in_order.size() <= kSmallZone) return {};
  const auto own = zone.ranks.find(daemon);
  if (own == zone.ranks.end()) {
    return {zone.in_order.begin(), zone.in_order.begin() + kReaders};
  }
  const auto rank = own->second;
  if (rank < kReaders) return {};
  const auto parent = (rank - kReaders) / kFanOut;
  // Half of the daemons below a lost one go to each reader.
  auto other = rank % kReaders;
  if (other == parent) other = (other + 1) % kReaders;
  return {zone.in_order[parent], zone.in_order[other]};
}

}  // namespace firmoor
