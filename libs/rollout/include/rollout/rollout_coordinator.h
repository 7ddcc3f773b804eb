#ifndef FIRMOOR_ROLLOUT_ROLLOUT_COORDINATOR_H_
#define FIRMOOR_ROLLOUT_ROLLOUT_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "rollout/rollout_messages.h"
#include "rollout/version_comparison.h"

namespace firmoor {

/// What the store holds about an order.
struct StoredRollout {
  std::string target;  ///< That the order asks for.
  /// Last written status; empty before the first.
  std::string state;
  std::string state_target;

  bool operator==(const StoredRollout&) const = default;
};

constexpr const char* kRolloutRunning = "running";
constexpr const char* kRolloutComplete = "complete";
constexpr const char* kRolloutReverted = "reverted";

/// Decides about the roll-outs of all services, at the daemon that holds the
/// lease: merges the daemons' cumulative evidence, moves each roll-out from
/// stage to stage, and tells which status to store. A new coordinator goes on
/// from the stored status and from the stages that the daemons report.
/// Performs no I/O.
class RolloutCoordinator {
 public:
  /// A roll-out enters another stage.
  struct StageChange {
    std::string service;
    std::string target;
    RolloutStage from = RolloutStage::kWaiting;
    RolloutStage to = RolloutStage::kWaiting;
    std::string reason;
    std::string route;          ///< That showed a fault; may be empty.
    std::int64_t requests = 0;  ///< To the service, since the order.
    std::int64_t sent = 0;      ///< To the target.
    std::int64_t ended = 0;
    std::int64_t bad = 0;

    bool operator==(const StageChange&) const = default;
  };
  /// A call to the store: reads the order if `state` is empty, otherwise writes
  /// its status unless it has changed since it was read.
  struct StoreCall {
    std::string service;
    std::string state;
    std::string target;

    bool operator==(const StoreCall&) const = default;
  };

  /// Orders that the coordinator's own daemon knows.
  void SetOrders(const std::vector<RolloutOrder>& orders, TimePoint now);
  /// Adds a daemon's report. `instance` is unique for each start of a daemon.
  void OnReport(const std::string& instance, const RolloutReports& reports,
                TimePoint now);
  [[nodiscard]] RolloutReplies Replies() const;
  /// Whether evidence against a target awaits `Advance`.
  [[nodiscard]] bool HasFault() const;
  /// Decides about stages; call regularly.
  std::vector<StageChange> Advance(TimePoint now);
  /// Calls to the store that are due. Each needs `OnRead` or `OnWritten`.
  std::vector<StoreCall> NextCalls(TimePoint now);
  /// `stored` is empty if the store did not answer.
  void OnRead(const std::string& service,
              const std::optional<StoredRollout>& stored, TimePoint now);
  /// The store returned from an older copy: statuses may be lost.
  void OnStoreReturned();
  /// `written`: the store has it. Otherwise it is read again.
  void OnWritten(const StoreCall& call, bool written, TimePoint now);

 private:
  struct Instance {
    RolloutReport report;
    TimePoint reported_at;
  };
  /// Requests to an upstream of the target, those of the last seconds.
  struct RecentCounts {
    double ended = 0;
    double bad = 0;
    double timed = 0;
    double pace_sum = 0;

    void Scale(double factor);
    void Add(const UpstreamCounts& counts, const UpstreamCounts& before);
    /// Share of failures, or the mean pace bucket.
    [[nodiscard]] double Badness(VersionFault fault) const;
    [[nodiscard]] double Samples(VersionFault fault) const;
  };
  struct Rollout {
    RolloutOrder order;
    TimePoint started_at;   ///< When the first daemon knew of the order.
    TimePoint known_since;  ///< In this term.
    RolloutStage stage = RolloutStage::kWaiting;
    TimePoint stage_since;
    bool is_moved = false;  ///< Nothing runs at the baseline any more.
    VersionComparison comparison{kFalseAlarm};
    std::map<std::string, Instance> instances;
    std::optional<TimePoint> fault_since;
    /// Responses of the target in this term, and those of its last seconds.
    double observed = 0;
    /// By upstream; empty: those that are counted together.
    std::map<std::string, RecentCounts> recent;
    TimePoint recent_at;
    std::optional<StoredRollout> stored;
    bool is_calling = false;
    TimePoint next_call;
  };

  /// Of a sound version that is reverted, for each run of a test.
  static constexpr double kFalseAlarm = 1e-4;

  static void AddEvidence(Rollout* rollout, const RolloutReport& before,
                          const RolloutReport& report, TimePoint now);
  static void Observe(Rollout* rollout, const RolloutReport& before,
                      const RolloutReport& report, TimePoint now);
  /// Whether enough was seen of the target lately, in this term.
  [[nodiscard]] static bool IsObserved(const Rollout& rollout, TimePoint now);
  /// Whether the fault is that of one upstream: lately, the others of the
  /// target were sound.
  [[nodiscard]] static bool IsOneUpstream(const Rollout& rollout,
                                          VersionFault fault);
  /// The stage that follows and why; empty to stay.
  struct Step {
    RolloutStage to;
    std::string reason;
  };
  [[nodiscard]] static std::optional<Step> NextStep(Rollout* rollout,
                                                    TimePoint now);
  [[nodiscard]] static std::optional<Step> StepAfterFault(Rollout* rollout,
                                                          TimePoint now);
  /// The final stage that the store holds, if any.
  [[nodiscard]] static std::optional<RolloutStage> StoredStage(
      const Rollout& rollout);
  /// A daemon was told a later stage by the previous coordinator.
  [[nodiscard]] static std::optional<Step> StepOfReports(
      const Rollout& rollout);
  [[nodiscard]] static bool HasMoved(const Rollout& rollout, TimePoint now);
  [[nodiscard]] static std::string WantedState(const Rollout& rollout);
  static StageChange Enter(Rollout* rollout, const Step& step, TimePoint now);

  std::map<std::string, Rollout> rollouts_;  ///< By service.
  /// When each instance last reported anything.
  std::map<std::string, TimePoint> reported_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_ROLLOUT_COORDINATOR_H_
