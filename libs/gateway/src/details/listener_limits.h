#ifndef FIRMOOR_GATEWAY_DETAILS_LISTENER_LIMITS_H_
#define FIRMOOR_GATEWAY_DETAILS_LISTENER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "http/body_budget.h"

namespace firmoor::details {

/// What a daemon's listeners take of its VM, so that no crowd of callers takes
/// all of it.
struct ListenerLimits {
  /// Of all requests that are read or handled, at all listeners together.
  BodyBudget::Limits uploads;
  std::size_t caller_connections = 0;
  /// At the listener for readiness, and again at the one for metrics.
  std::size_t operator_connections = 0;

  bool operator==(const ListenerLimits&) const = default;
};

/// Limits for a VM with `memory_mb` MB and a process that may open
/// `descriptors` files. Three eighths of the descriptors or more are kept back
/// for upstreams, other daemons, the store and files. Pure.
ListenerLimits ListenerLimitsFor(double memory_mb, std::uint64_t descriptors);

/// How many files this process may open.
std::uint64_t DescriptorLimit();

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_LISTENER_LIMITS_H_
