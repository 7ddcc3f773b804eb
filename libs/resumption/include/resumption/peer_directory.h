#ifndef FIRMOOR_RESUMPTION_PEER_DIRECTORY_H_
#define FIRMOOR_RESUMPTION_PEER_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Where another daemon is reached.
struct PeerAddress {
  std::string daemon;
  std::string availability_zone;
  Endpoint endpoint;

  bool operator==(const PeerAddress&) const = default;
};

/// The daemons of the fleet, from which those that hold the record of a stream
/// are chosen. Does no I/O.
class PeerDirectory {
 public:
  void Add(const PeerAddress& peer);
  /// Marks a daemon as departed at `now`; it is remembered for `HeldBySince`.
  void Remove(const std::string& daemon, TimePoint now);
  /// A new list of all daemons begins: those that are not added again for
  /// `kConfirmationTime` depart with the next `RemoveUnconfirmed`. Until then
  /// they may only be unknown to the new list's author.
  void ExpectConfirmation(TimePoint now);
  void RemoveUnconfirmed(TimePoint now);
  /// A coordinator hears of all daemons within a few seconds.
  static constexpr Duration kConfirmationTime{10'000};

  /// The `count` daemons that hold what belongs to `key`, best first: in the
  /// order of rendezvous hashing, but from as many availability zones as there
  /// are. A daemon that joins or leaves changes few of them. `excluded` is left
  /// out as if it were not in the directory.
  [[nodiscard]] std::vector<PeerAddress> HoldersOf(
      std::string_view key, std::size_t count,
      const std::string& excluded = "") const;

  /// Whether `daemon` has been one of the `count` holders of `key` since
  /// `since`, and did not move up in place of one that departed.
  [[nodiscard]] bool HeldBySince(std::string_view key, std::size_t count,
                                 const std::string& daemon,
                                 TimePoint since) const;

  /// Daemons that have not departed.
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] bool Contains(const std::string& daemon) const;

 private:
  struct Entry {
    PeerAddress peer;
    std::optional<TimePoint> departed_at;
    std::optional<TimePoint> unconfirmed_since;
  };

  [[nodiscard]] std::vector<const PeerAddress*> Present(
      const std::string& excluded) const;

  std::map<std::string, Entry> entries_;  ///< By daemon.
};

}  // namespace firmoor

#endif  // FIRMOOR_RESUMPTION_PEER_DIRECTORY_H_
