#include <algorithm>

#include "serving/prefix_chunks.h"
#include "serving/router.h"

namespace firmoor {
namespace {

// Slowdown of a prefill by each running request of the replica.
constexpr double kDecodeInterferenceS = 0.002;
// Minimum gain for choosing a replica in another availability zone.
constexpr double kCrossZonePenaltyS = 0.002;
// Accuracy of the estimate. Within it, the replica with the longest cached
// prefix, or the highest rendezvous rank, is preferred.
constexpr double kCostToleranceS = 0.2;
// Longer waits save hardly any more prefill time.
constexpr Duration kMaxPrefixWait{2'000};

/// Expected time to first token: the queued prefill work, the uncached part of
/// the prompt and the slowdown by running requests.
class ExpectedTime : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest& request) const override {
    const double cached =
        static_cast<double>(replica.matched_chunks * kChunkTokens);
    const double own =
        std::max(0.0, static_cast<double>(request.prompt_tokens) - cached);
    return (replica.queued_tokens + own) / replica.prefill_tokens_per_s +
           kDecodeInterferenceS * static_cast<double>(replica.running) +
           (replica.is_same_zone ? 0.0 : kCrossZonePenaltyS);
  }
  [[nodiscard]] double Tolerance() const override { return kCostToleranceS; }
  [[nodiscard]] Duration MaxPrefixWait() const override {
    return kMaxPrefixWait;
  }
};

/// Baseline: replicas in turn.
class RoundRobin : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest&) const override {
    return static_cast<double>(replica.round_robin_position);
  }
};

/// Baseline: the replica with the fewest requests of this daemon.
class LeastInFlight : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest&) const override {
    return static_cast<double>(replica.in_flight);
  }
};

/// Baseline: the longest cached prefix, regardless of the load.
class PrefixAffinity : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest&) const override {
    return -static_cast<double>(replica.matched_chunks);
  }
};

template <typename Strategy>
std::unique_ptr<RoutingStrategy> Make() {
  return std::make_unique<Strategy>();
}

struct StrategyEntry {
  std::string_view name;
  std::unique_ptr<RoutingStrategy> (*make)();
};

constexpr StrategyEntry kStrategies[] = {
    {"expected-time", Make<ExpectedTime>},
    {"round-robin", Make<RoundRobin>},
    {"least-in-flight", Make<LeastInFlight>},
    {"prefix-affinity", Make<PrefixAffinity>},
};

}  // namespace

std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name) {
  for (const auto& entry : kStrategies) {
    if (entry.name == name) return entry.make();
  }
  return nullptr;
}

}  // namespace firmoor
