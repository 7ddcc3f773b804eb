#ifndef FIRMOOR_PLACEMENT_LEASE_STAGGER_H_
#define FIRMOOR_PLACEMENT_LEASE_STAGGER_H_

#include <cstddef>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// How long a daemon leaves a lease that ended to others, so that the daemons
/// of a large fleet do not all write it at once: none among few daemons,
/// otherwise by chance and longer on a weak VM. `cores`: part of a processor
/// core that the VM has. `instance_id`: another daemon is first after each
/// restart. Pure.
Duration LeaseStagger(std::size_t daemons, double cores,
                      std::string_view instance_id);

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_LEASE_STAGGER_H_
