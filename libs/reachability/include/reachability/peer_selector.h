#ifndef FIRMOOR_REACHABILITY_PEER_SELECTOR_H_
#define FIRMOOR_REACHABILITY_PEER_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "resumption/peer_directory.h"

namespace firmoor {

/// Why another daemon did not take a request.
enum class PeerRefusal {
  kUnreachable,  ///< It does not reach the service's upstreams either.
  kBusy,         ///< It serves as many requests of others as it may.
  kStopping,     ///< It drains.
  kUnsupported,  ///< Its build does not know such requests.
  kNoResponse,   ///< It could not be connected, or did not respond.
  kOutdated,     ///< Its configuration is older, or not known to be current.
};

/// "unreachable", "busy" and so on, for logs.
std::string_view NameOf(PeerRefusal reason);

/// Chooses the daemon that serves a request for this one, which does not reach
/// the upstreams itself. Keeps to a few daemons, so that the number of
/// connections does not grow with the fleet, and avoids those that refused
/// recently. Performs no I/O and reads no clock.
class PeerSelector {
 public:
  struct Location {
    std::string daemon;
    std::string availability_zone;
    std::map<std::string, std::string> regions;  ///< By availability zone.

    bool operator==(const Location&) const = default;
  };

  explicit PeerSelector(Location location);

  /// The daemon to pass a request of `service` to: the less loaded of two that
  /// `request_hash` selects from those in the own region, or in others if these
  /// are exhausted. Those that were unreachable themselves come last.
  /// `excluded`: daemons that already refused this request.
  [[nodiscard]] std::optional<PeerAddress> Choose(
      const PeerDirectory& directory, const std::string& service,
      std::uint64_t request_hash, const std::set<std::string>& excluded,
      TimePoint now);

  void OnSend(const std::string& daemon);
  /// The request passed to `daemon` has ended.
  void OnEnd(const std::string& daemon);
  void OnAccepted(const std::string& daemon, const std::string& service);
  void OnRefused(const std::string& daemon, const std::string& service,
                 PeerRefusal reason, TimePoint now);

 private:
  struct Peer {
    std::size_t in_flight = 0;  ///< Requests of this daemon.
    int silences = 0;           ///< Consecutive.
    TimePoint avoided_until;
    std::map<std::string, TimePoint> unreachable_until;  ///< By service.
  };

  [[nodiscard]] bool IsRemote(const PeerAddress& peer) const;
  [[nodiscard]] bool IsAvoided(const std::string& daemon,
                               const std::string& service, TimePoint now) const;
  /// Whether its last reply was, not long ago, that it does not reach the
  /// service either.
  [[nodiscard]] bool WasUnreachable(const std::string& daemon,
                                    const std::string& service,
                                    TimePoint now) const;
  /// The same for any refusal.
  [[nodiscard]] bool HasRefused(const std::string& daemon,
                                const std::string& service,
                                TimePoint now) const;
  [[nodiscard]] std::size_t InFlight(const std::string& daemon) const;
  void RefreshCandidates(const PeerDirectory& directory,
                         const std::string& service, TimePoint now);

  Location location_;
  std::vector<PeerAddress> candidates_;
  std::optional<TimePoint> refreshed_at_;
  /// Selects other candidates after all have refused.
  std::uint64_t generation_ = 0;
  std::map<std::string, Peer> peers_;  ///< By daemon.
};

}  // namespace firmoor

#endif  // FIRMOOR_REACHABILITY_PEER_SELECTOR_H_
