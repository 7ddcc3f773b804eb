#ifndef FIRMOOR_FIRMOORD_PEER_REQUESTS_H_
#define FIRMOOR_FIRMOORD_PEER_REQUESTS_H_

#include <QByteArray>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "fleet.h"
#include "serving/dispatcher.h"

namespace firmoor {

/// Requests that move between daemons: takes those that a peer hands over, and
/// finds one at the daemon that accepted it or at those it was handed to.
/// Lives in the event loop; outlived by its parts.
class PeerRequests {
 public:
  using Done = std::function<void(const RequestProgress&)>;

  /// Serves the peers' calls "handover" and "tail" from `dispatcher`.
  PeerRequests(const Settings& settings, Fleet* fleet, Dispatcher* dispatcher);

  /// The tokens of request `id` from number `from` on, and its end; not found
  /// when no daemon that was asked has it. `done` runs once.
  void Find(const std::string& id, std::size_t from, const Done& done);

 private:
  using Candidates = std::shared_ptr<std::vector<Member>>;

  /// The home daemon first, then those it would hand the request to.
  [[nodiscard]] std::vector<Member> CandidatesFor(const std::string& id) const;
  void QueryNext(const Candidates& candidates, const QByteArray& query,
                 const Done& done);
  void ServeProgress(const QByteArray& message, const PeerNode::Reply& reply);
  void ServeHandover(const QByteArray& message, const PeerNode::Reply& reply);

  Settings settings_;
  Fleet* fleet_;
  Dispatcher* dispatcher_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_PEER_REQUESTS_H_
