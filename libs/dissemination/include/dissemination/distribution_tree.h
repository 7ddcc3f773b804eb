#ifndef FIRMOOR_DISSEMINATION_DISTRIBUTION_TREE_H_
#define FIRMOOR_DISSEMINATION_DISTRIBUTION_TREE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "http/message.h"

namespace firmoor {

/// Where a daemon runs and the endpoint at which other daemons reach it.
struct DaemonLocation {
  std::string region;
  Endpoint peer_endpoint;
  std::string availability_zone;

  bool operator==(const DaemonLocation&) const = default;
};

/// Tree along which changes of the platform's store reach the daemons. In each
/// region `kReadersPerRegion` daemons read the store, and the others form a
/// shallow tree below them in which no daemon serves more than `kFanOut`
/// others. Daemons are ranked by a hash of their names, which mixes the
/// availability zones. The tree depends on the set of daemons only. Does no
/// I/O.
class DistributionTree {
 public:
  /// Daemons of a region that read the store. One would do; the second keeps
  /// changes flowing when the first is lost.
  static constexpr std::size_t kReadersPerRegion = 2;
  /// Maximum number of daemons that prefer the same source. Keeps its load at
  /// about twenty calls a second, and the tree at two levels for regions of up
  /// to 222 daemons.
  static constexpr std::size_t kFanOut = 10;
  /// In regions of up to this many daemons all of them read the store: a tree
  /// would save too few calls to be worth the added delay.
  static constexpr std::size_t kMaxDirectReaders = 6;

  /// Sets the daemons in the tree, by name.
  void SetDaemons(const std::map<std::string, DaemonLocation>& daemons);

  /// The daemons that `daemon` reads from, in order of preference; empty: it
  /// reads the store. A daemon that is not in the tree, because it is stopping,
  /// reads from the store readers of its region.
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
