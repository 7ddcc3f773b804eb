#ifndef FIRMOOR_PLACEMENT_SUCCESSOR_CHOICE_H_
#define FIRMOOR_PLACEMENT_SUCCESSOR_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// A daemon as the lease holder knows it from the daemon's last report.
struct SuccessorCandidate {
  std::string daemon;
  bool is_draining = false;
  Duration silent_for{0};          ///< Since its last report.
  std::optional<Duration> uptime;  ///< Empty: its build takes over no lease.
  double cores = 0;                ///< Of its VM, may be less than one.

  bool operator==(const SuccessorCandidate&) const = default;
};

/// Returns the daemon to hand the lease to: one that reports, is not draining
/// and has settled; rather not on a VM with little CPU; of these the one that
/// started last. In a restart of the whole fleet that one has its restart
/// behind it, so that the lease moves twice at most while daemons restart one
/// after another. Empty if there is none. Performs no I/O.
std::optional<std::string> ChooseSuccessor(
    const std::vector<SuccessorCandidate>& candidates);

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_SUCCESSOR_CHOICE_H_
