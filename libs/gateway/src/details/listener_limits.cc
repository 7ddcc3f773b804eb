#include "details/listener_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

#include "http/http_server.h"

namespace firmoor::details {
namespace {

constexpr double kBytesPerMb = 1024 * 1024;
// The rest is for the program, responses, connections and copies of requests
// that are passed on.
constexpr double kUploadShare = 0.125;
// Nearly all requests are smaller and never wait for memory.
constexpr std::size_t kFreeUploadBytes = 8 * 1024;
// A connection that waits takes up to 30 KB, an idle one a fifth of it.
constexpr double kConnectionsPerMb = 16;
constexpr std::size_t kMinConnections = 16;
constexpr std::uint64_t kDescriptorParts = 32;
constexpr std::uint64_t kCallerParts = 19;
constexpr std::size_t kMaxOperatorConnections = 64;

}  // namespace

ListenerLimits ListenerLimitsFor(double memory_mb, std::uint64_t descriptors) {
  const auto part = std::max<std::uint64_t>(descriptors / kDescriptorParts, 1);
  const auto by_memory =
      static_cast<std::uint64_t>(memory_mb * kConnectionsPerMb);
  // Beyond this, descriptors are no limit; the product stays in range.
  const auto by_descriptors =
      std::min<std::uint64_t>(part, HttpServerLimits().connections) *
      kCallerParts;
  ListenerLimits limits;
  limits.uploads = {
      std::numeric_limits<std::size_t>::max(),
      static_cast<std::size_t>(memory_mb * kUploadShare * kBytesPerMb),
      kFreeUploadBytes};
  limits.caller_connections =
      std::clamp<std::size_t>(std::min(by_memory, by_descriptors),
                              kMinConnections, HttpServerLimits().connections);
  limits.operator_connections =
      std::clamp<std::size_t>(part / 2, 4, kMaxOperatorConnections);
  return limits;
}

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  const bool is_known =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return is_known ? limit.rlim_cur : std::numeric_limits<std::uint64_t>::max();
}

}  // namespace firmoor::details
