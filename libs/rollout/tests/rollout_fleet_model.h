#ifndef FIRMOOR_ROLLOUT_TESTS_ROLLOUT_FLEET_MODEL_H_
#define FIRMOOR_ROLLOUT_TESTS_ROLLOUT_FLEET_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout_coordinator.h"
#include "rollout/rollout_guard.h"

namespace firmoor {

/// A request to an upstream, as the versions in a model see it.
struct ModelRequest {
  bool is_target = false;
  std::string upstream;
  std::string route;
  std::int64_t ms = 0;
  double load = 0;  ///< Recent requests a second at the upstream.
};

/// What became of it.
struct ModelAnswer {
  bool bad = false;
  double time_ms = 40;
};

/// Daemons, a coordinator, a store and upstreams in virtual time.
struct RolloutFleetModel {
  struct Config {
    int daemons = 8;
    double requests_per_s = 300;
    int baseline = 24;
    int targets = 24;
    std::int64_t targets_ready_ms = 3'000;
    Duration over{14'000};
    std::int64_t answer_ms = 100;    ///< Until an answer ends.
    std::int64_t stream_ms = 2'000;  ///< For one answer in four.
    double lost_messages = 0;
    int cut_off = 0;  ///< Daemons that hear nothing from `cut_at_ms` on.
    std::int64_t cut_at_ms = 6'000;
    /// When another coordinator takes over, and for how long there is none.
    std::optional<std::int64_t> change_at_ms;
    std::int64_t gap_ms = 3'500;
    std::int64_t store_down_from_ms = -1;
    std::int64_t store_down_until_ms = -1;
    std::function<ModelAnswer(const ModelRequest&, double random)> answer;
  };
  struct Result {
    std::int64_t requests = 0;  ///< Until the deadline.
    std::int64_t exposed = 0;   ///< Of those, to the target.
    std::int64_t bad = 0;
    std::optional<std::int64_t> fiftieth_bad_ms;
    std::optional<std::int64_t> last_target_ms;
    std::string state;                     ///< As stored last.
    std::optional<std::int64_t> ended_ms;  ///< When that was stored.
    std::int64_t cut_streams = 0;  ///< At the baseline, when it stopped.

    [[nodiscard]] double Share() const {
      return static_cast<double>(exposed) / static_cast<double>(requests);
    }
  };

  /// Plays `seconds` after an order.
  static Result Play(const Config& config, int seconds = 22);
};

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_TESTS_ROLLOUT_FLEET_MODEL_H_
