#include "details/retired_connections.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace firmoor::details {
namespace {

// Connections to one peer that are kept for their streams. A peer that pauses
// for four seconds retires as many by calls of half a second; the streams of
// one that is dead have owners with time-outs.
constexpr std::size_t kMaxRetired = 8;

}  // namespace

void RetiredConnections::Add(const Endpoint& peer, Connection connection) {
  retired_.push_back({peer, std::move(connection)});
}

RetiredConnections::Connection RetiredConnections::Remove(
    const Http2Connection* connection) {
  const auto found = std::find_if(retired_.begin(), retired_.end(),
                                  [connection](const auto& entry) {
                                    return entry.connection.get() == connection;
                                  });
  if (found == retired_.end()) return nullptr;
  auto removed = std::move(found->connection);
  retired_.erase(found);
  return removed;
}

std::vector<RetiredConnections::Connection> RetiredConnections::Excess(
    const Endpoint& peer) const {
  std::vector<Connection> excess;
  for (const auto& entry : retired_) {
    if (entry.peer == peer) excess.push_back(entry.connection);
  }
  excess.resize(excess.size() - std::min(excess.size(), kMaxRetired));
  return excess;
}

std::vector<RetiredConnections::Connection> RetiredConnections::All() const {
  std::vector<Connection> all;
  for (const auto& entry : retired_) all.push_back(entry.connection);
  return all;
}

}  // namespace firmoor::details
