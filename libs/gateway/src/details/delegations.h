#ifndef FIRMOOR_GATEWAY_DETAILS_DELEGATIONS_H_
#define FIRMOOR_GATEWAY_DETAILS_DELEGATIONS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "details/delegation_messages.h"
#include "gateway/peer_directory_messages.h"
#include "reachability/peer_selector.h"

namespace firmoor::details {

/// Requests that this daemon delegates to others, and those that it serves for
/// others: which daemons take part, how many at once, and how it went.
class Delegations {
 public:
  explicit Delegations(PeerSelector::Location location)
      : peers_(std::move(location)) {}

  void SetStreamCall(PeerStreamCall call) { open_ = std::move(call); }
  [[nodiscard]] PeerSelector& peers() { return peers_; }

  /// Sends a request to `peer`; null without a way to call other daemons.
  std::unique_ptr<PeerStream> Open(const PeerAddress& peer,
                                   const DelegatedRequest& request,
                                   PeerStream::Handlers handlers);
  /// A peer accepted a request this long after it was sent.
  void OnAccepted(const PeerAddress& peer, const std::string& service,
                  Duration delay);
  void OnRefused(const PeerAddress& peer, const std::string& service,
                 PeerRefusal reason, TimePoint now);
  /// A request passed to `peer` has ended.
  void OnEnd(const PeerAddress& peer) { peers_.OnEnd(peer.daemon); }

  /// Whether another request of others, with a body of this size, may be
  /// served.
  [[nodiscard]] bool MayTake(std::size_t body_bytes) const;
  void OnTaken(std::size_t body_bytes);
  void OnTakenEnded(std::size_t body_bytes);
  void OnTakeRefused() { ++counters_.take_refused; }

  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string Metrics() const;

 private:
  /// Since the start.
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t accept_delay_ms = 0;  ///< Sum.
    std::uint64_t taken = 0;
    std::uint64_t take_refused = 0;
  };

  PeerSelector peers_;
  PeerStreamCall open_;
  Counters counters_;
  std::size_t taken_now_ = 0;
  std::size_t taken_bytes_ = 0;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_DELEGATIONS_H_
