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

/// Accepts requests that peers hand over, and looks up requests at the daemon
/// that accepted them or at those that they may have been handed over to.
/// Must be used on the event loop thread. `fleet` and `dispatcher` must outlive
/// this.
class PeerRequests {
 public:
  using Done = std::function<void(const RequestProgress&)>;

  /// Registers handlers for the "handover" and "tail" calls of peers.
  PeerRequests(const Settings& settings, Fleet* fleet, Dispatcher* dispatcher);

  /// Queries other daemons for the tokens of request `id` from index `from` on
  /// and for its outcome. Reports "not found" if no queried daemon has the
  /// request, and then whether a daemon that may have it gave no answer. Calls
  /// `done` exactly once.
  void Find(const std::string& id, std::size_t from, const Done& done);

 private:
  /// Query of one daemon after the other.
  struct Lookup {
    std::vector<Member> candidates;  ///< Not queried yet.
    QByteArray query;
    Done done;
    bool unanswered = false;  ///< A daemon that may have it gave no answer.
  };

  /// The daemon that accepted the request, then those that it would offer the
  /// request to when it drains. Those that are taken for dead come last: they
  /// may only stand still.
  [[nodiscard]] std::vector<Member> CandidatesFor(const std::string& id) const;
  void QueryNext(const std::shared_ptr<Lookup>& lookup);
  void ServeProgress(const QByteArray& message, const PeerNode::Reply& reply);
  void ServeHandover(const QByteArray& message, const PeerNode::Reply& reply);

  Settings settings_;
  Fleet* fleet_;
  Dispatcher* dispatcher_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_PEER_REQUESTS_H_
