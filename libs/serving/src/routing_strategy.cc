#include <algorithm>

#include "serving/prefix_chunks.h"
#include "serving/router.h"

namespace firmoor {
namespace {

// A decoding request slows the prefill of a new one by about this much.
constexpr double kDecodeInterferenceS = 0.002;
// What a request must gain to cross to another zone of the region.
constexpr double kCrossZonePenaltyS = 0.002;
// Estimates are not better than this, so a nearly equal replica that has the
// prefix, or is its home, is taken.
constexpr double kCostToleranceS = 0.2;
// Waiting longer saves hardly more prefill.
constexpr Duration kMaxPrefixWait{2'000};

/// Expected time to the first token: work ahead, plus prefill that the cache
/// does not save, plus the slowdown by running requests.
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

/// Baseline: each replica in turn.
class RoundRobin : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest&) const override {
    return static_cast<double>(replica.round_robin_position);
  }
};

/// Baseline: the replica with the fewest own requests.
class LeastInFlight : public RoutingStrategy {
 public:
  [[nodiscard]] double Cost(const ReplicaView& replica,
                            const RouteRequest&) const override {
    return static_cast<double>(replica.in_flight);
  }
};

/// Baseline: the longest cached prefix, whatever the load.
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
