#ifndef FIRMOOR_PLACEMENT_LEASE_STAGGER_H_
#define FIRMOOR_PLACEMENT_LEASE_STAGGER_H_

#include <cstddef>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// Returns how long a daemon waits before it takes over an expired lease, so
/// that the daemons of a large fleet do not all write it at once. Zero in a
/// small fleet, otherwise pseudo-random and longer on a VM with little CPU.
/// `cores`: CPU cores of the VM. `instance_id`: seed, so that the order of the
/// daemons changes with each restart. Performs no I/O.
Duration LeaseStagger(std::size_t daemons, double cores,
                      std::string_view instance_id);

/// Returns how much longer a daemon that is about to stop leaves an expired
/// lease to others: `lifetime` of the lease, in which one that stays takes it.
/// Zero for the only daemon. Performs no I/O.
Duration DrainingTakeoverDelay(std::size_t daemons, Duration lifetime);

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_LEASE_STAGGER_H_
