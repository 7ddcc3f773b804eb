#ifndef FIRMOOR_DISSEMINATION_DISTRIBUTION_TREE_H_
#define FIRMOOR_DISSEMINATION_DISTRIBUTION_TREE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "http/message.h"

namespace firmoor {

/// Where a daemon is reached by others.
struct DaemonLocation {
  std::string region;
  Endpoint peer_endpoint;

  bool operator==(const DaemonLocation&) const = default;
};

/// Who reads the platform's store, and who reads from whom: in each region two
/// daemons read the store, and the others form a shallow tree below them, so
/// that no daemon answers more than a fixed number of others. Ranks follow a
/// hash of the names, which mixes the availability zones. The same daemons give
/// the same tree, whoever computes it. Pure.
class DistributionTree {
 public:
  /// Daemons of a region that read the store: one more than needed, so that the
  /// loss of one leaves no gap.
  static constexpr std::size_t kReadersPerRegion = 2;
  /// Daemons that read from one: keeps what it answers to some twenty calls a
  /// second, and the depth at two for a region of 222.
  static constexpr std::size_t kFanOut = 10;
  /// A region of so many saves too few calls to be worth the hop.
  static constexpr std::size_t kMaxDirectReaders = 6;

  /// Takes the daemons that take part, by name.
  void SetDaemons(const std::map<std::string, DaemonLocation>& daemons);

  /// Whom `daemon` reads from, the preferred one first; empty: the store. A
  /// daemon that does not take part, since it stops, reads from the readers of
  /// its region.
  [[nodiscard]] std::vector<Endpoint> SourcesOf(
      const std::string& daemon, const std::string& region) const;

 private:
  struct Region {
    std::vector<Endpoint> by_rank;
    std::map<std::string, std::size_t> ranks;  ///< By daemon.
  };

  std::map<std::string, DaemonLocation> daemons_;
  std::map<std::string, Region> regions_;
};

}  // namespace firmoor

#endif  // FIRMOOR_DISSEMINATION_DISTRIBUTION_TREE_H_
