#ifndef FIRMOOR_ROLLOUT_ROLLOUT_MESSAGES_H_
#define FIRMOOR_ROLLOUT_ROLLOUT_MESSAGES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// An operator's order to move a service's requests to a software version.
struct RolloutOrder {
  std::string service;
  std::string target;  ///< Version.
  Duration over{0};    ///< Time from the order to its deadline.

  bool operator==(const RolloutOrder&) const = default;
};

/// Stages in the order in which a sound version passes them. Daemons tell the
/// number of a stage to each other: add new ones at the end.
enum class RolloutStage : std::uint8_t {
  kWaiting = 0,   ///< The target gets nothing.
  kCanary = 1,    ///< It gets a share within the allowance.
  kHalf = 2,      ///< Every other request.
  kAll = 3,       ///< All new requests.
  kComplete = 4,  ///< Stored: the other versions stop.
  kReverted = 5,  ///< The target gets nothing any more.
};

/// "waiting", "canary", "half", "all", "complete" or "reverted".
std::string_view NameOf(RolloutStage stage);

/// Half octaves of the time that a response took, relative to what its size
/// lets expect; see `PaceBucket`.
constexpr std::size_t kPaceBuckets = 24;

/// What became of the requests to one version, since the order was known.
struct ArmCounts {
  std::int64_t ended = 0;  ///< With an answer of the upstream.
  std::int64_t bad = 0;    ///< Of those, failures.
  std::array<std::int64_t, kPaceBuckets> pace{};

  bool operator==(const ArmCounts&) const = default;
};

/// The target and the other versions in the same requests.
struct ArmPair {
  ArmCounts baseline;
  ArmCounts target;

  bool operator==(const ArmPair&) const = default;
};

/// By route, and by route and `kGapSuffix` for the time between events.
using EvidenceByRoute = std::map<std::string, ArmPair>;
constexpr const char* kGapSuffix = "#gap";

/// Requests to one upstream of the target, to tell a fault of the version from
/// one of a single upstream.
struct UpstreamCounts {
  std::int64_t ended = 0;
  std::int64_t bad = 0;
  std::int64_t timed = 0;
  std::int64_t pace_sum = 0;  ///< Sum of their pace buckets.

  bool operator==(const UpstreamCounts&) const = default;
};

/// A daemon's part in one roll-out. All counts are cumulative.
struct RolloutReport {
  std::string target;
  Duration age{0};  ///< Since the daemon knows of the order.
  Duration over{0};
  RolloutStage stage = RolloutStage::kWaiting;
  std::int64_t requests = 0;  ///< To the service.
  std::int64_t sent = 0;      ///< To the target, further attempts included.
  std::int64_t baseline_in_flight = 0;
  bool is_stopped = false;  ///< By the daemon's own evidence.
  EvidenceByRoute evidence;
  std::map<std::string, UpstreamCounts> targets;  ///< By upstream.

  bool operator==(const RolloutReport&) const = default;
};
using RolloutReports = std::map<std::string, RolloutReport>;  ///< By service.

/// The coordinator's word on one roll-out.
struct RolloutReply {
  std::string target;
  RolloutStage stage = RolloutStage::kWaiting;

  bool operator==(const RolloutReply&) const = default;
};
using RolloutReplies = std::map<std::string, RolloutReply>;  ///< By service.

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_ROLLOUT_MESSAGES_H_
