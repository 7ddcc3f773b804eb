#ifndef FIRMOOR_ADMISSION_TESTS_SHORTAGE_FLEET_MODEL_H_
#define FIRMOOR_ADMISSION_TESTS_SHORTAGE_FLEET_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "admission/fleet_shortage.h"
#include "admission/shortage_gate.h"

namespace firmoor {

/// A fleet of daemons before engines of one service, in virtual time. Engines
/// are pools of slots with a queue in order of urgency: one that has read a
/// part which many prompts may share, and the others. Callers that are refused
/// come back once, at another daemon.
class ShortageFleetModel {
 public:
  static constexpr std::size_t kKinds = 3;  ///< By priority.
  static constexpr std::size_t kWorkspaces = 16;
  static constexpr std::size_t kZones = 6;

  struct Tally {
    double owed = 0;
    double served = 0;
    [[nodiscard]] double Share() const { return owed > 0 ? served / owed : 1; }
  };
  struct Result {
    std::array<Tally, kKinds> kinds;
    std::array<Tally, kWorkspaces> workspaces;
    std::array<Tally, kZones> zones;
    Tally large;  ///< The largest tenth.
    Tally hot;    ///< Those that share the prompt part.
    Tally all;
    std::array<std::int64_t, kKinds> refused{};
    std::int64_t admitted_at_turn = 0;  ///< Of callers that were refused once.
    std::int64_t refused_at_turn = 0;
  };

  explicit ShortageFleetModel(std::size_t daemons);

  std::array<double, kKinds> kind_factor{1, 1, 1};
  double workspace_factor = 1;  ///< Of the first workspace.
  double hot_part = 0.1;  ///< Part of the requests that share the prompt part.
  double capacity = 1;    ///< Part of the engines that run.
  bool has_coordinator = true;
  bool by_urgency = true;  ///< Otherwise as without priorities.

  /// Runs, and counts what arrives meanwhile.
  Result Run(Duration time);

 private:
  struct Caller {
    std::size_t kind = 0;
    std::size_t workspace = 0;
    std::size_t zone = 0;
    bool is_large = false;
    bool is_hot = false;
    std::uint64_t content = 0;
    TimePoint began_at;
    bool comes_back = false;
    bool has_turn = false;
    bool is_counted = false;
  };

  struct Pool {
    double part = 1;  ///< Of all slots.
    /// By priority and order of arrival.
    std::map<std::pair<int, std::uint64_t>, Caller> waiting;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
        running;
    std::deque<double> seen;  ///< Requests, oldest first.
  };

  void Arrive();
  [[nodiscard]] Caller MakeCaller(std::size_t kind);
  void Ask(Caller caller);
  void Serve(Pool* pool);
  void Report();
  [[nodiscard]] double SlotsOf(const Pool& pool) const;
  void Count(const Caller& caller, bool served);

  std::vector<ShortageGate> daemons_;
  std::unique_ptr<FleetShortage> coordinator_;
  TimePoint now_;
  std::uint64_t sequence_ = 0;
  std::uint64_t asked_ = 0;
  std::array<double, kKinds> due_{};
  std::multimap<TimePoint, Caller> returning_;
  std::array<Pool, 2> pools_;  ///< The second one has read the shared part.
  Result result_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_TESTS_SHORTAGE_FLEET_MODEL_H_
