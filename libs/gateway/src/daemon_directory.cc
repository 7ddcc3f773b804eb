#include "gateway/daemon_directory.h"

#include <vector>

namespace firmoor {
namespace {

// Removed daemons of which the others are told one by one; a daemon that lacks
// more gets the whole list.
constexpr std::size_t kMaxRemovals = 256;

}  // namespace

DaemonDirectory::DaemonDirectory(std::int64_t term)
    : term_(term), log_(kMaxRemovals) {
  log_.ApplySnapshot({0, 1}, {});
}

void DaemonDirectory::SetDaemons(
    const std::map<std::string, DaemonLocation>& daemons) {
  if (daemons == daemons_) return;
  daemons_ = daemons;
  std::vector<EncodedChange> objects;
  objects.reserve(daemons.size());
  for (const auto& [daemon, location] : daemons) {
    // The log only compares the content.
    objects.push_back(
        {daemon,
         QByteArray::fromStdString(location.availability_zone + " " +
                                   location.peer_endpoint.ToString()),
         false});
  }
  log_.ApplySnapshot({0, log_.version().revision + 1}, objects);
}

DirectoryUpdate DaemonDirectory::UpdateSince(
    const DirectoryPosition& position) const {
  DirectoryUpdate update;
  update.position = {term_, log_.version().revision};
  const StoreVersion position_version{0, position.revision};
  update.is_full = position.term != term_ || !log_.Covers(position_version);
  const auto changes =
      update.is_full ? log_.Snapshot() : *log_.ChangesSince(position_version);
  for (const auto& change : changes) {
    const auto found = daemons_.find(change.name);
    if (found == daemons_.end()) {
      update.removed.push_back(change.name);
    } else {
      update.added.push_back({change.name, found->second.availability_zone,
                              found->second.peer_endpoint});
    }
  }
  return update;
}

}  // namespace firmoor
