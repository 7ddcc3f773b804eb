#ifndef FIRMOOR_SERVING_ADMISSION_H_
#define FIRMOOR_SERVING_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"

namespace firmoor {

/// A request submitted for admission.
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string workspace;
  double weight = 1.0;               ///< Relative share of the workspace.
  int priority = 0;                  ///< Higher values are served first.
  double cost = 1.0;                 ///< In tokens; 1 for plain services.
  std::int64_t max_in_flight = 256;  ///< Limit of the workspace.
  TimePoint deadline;

  bool operator==(const AdmissionRequest&) const = default;
};

/// A rejection, with the delay after which a retry can succeed.
struct Refusal {
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after{1'000};

  bool operator==(const Refusal&) const = default;
};

/// Decides which requests of one service run, wait in the queue or are
/// rejected.
///
/// Higher priorities are served first. Within a priority, workspaces share the
/// capacity by weight (start-time fair queueing), so that a large workspace
/// cannot starve a small one. Part of the capacity is reserved for workspaces
/// below their fair share, so that a small one need not wait until a request
/// of a large one ends. When the queue is full, the newest request of the
/// workspace with the most waiting requests per weight is rejected. A request
/// that is expected to miss its deadline in the queue is rejected at once.
/// Performs no I/O.
class Admission {
 public:
  /// A request that may run now.
  struct Admitted {
    std::uint64_t id = 0;
    /// Whether its workspace runs less than its fair share while other requests
    /// wait; always false when none waits.
    bool below_fair_share = false;

    bool operator==(const Admitted&) const = default;
  };
  /// Decisions made since the last call.
  struct Changes {
    std::vector<Admitted> run;
    std::vector<std::pair<std::uint64_t, Refusal>> refused;

    bool operator==(const Changes&) const = default;
  };

  Admission(std::int64_t capacity, std::int64_t queue_limit);

  void SetCapacity(std::int64_t capacity) { capacity_ = capacity; }
  void SetQueueLimit(std::int64_t limit) { queue_limit_ = limit; }

  /// Queues a request; `TakeChanges` returns the decision on it.
  void Submit(const AdmissionRequest& request, TimePoint now);

  /// A running request ended, or a waiting one was cancelled.
  void Finish(std::uint64_t id, TimePoint now);

  /// Returns a running request to the head of its queue when no upstream had
  /// a free place for it.
  void Requeue(std::uint64_t id);

  /// Requests to run or reject now. Call after each event and periodically.
  Changes TakeChanges(TimePoint now);

  [[nodiscard]] std::int64_t waiting() const { return waiting_; }
  [[nodiscard]] std::int64_t running() const {
    return static_cast<std::int64_t>(running_.size());
  }

  /// Estimated time until a new request of `priority` would start, from the
  /// measured completion rate.
  [[nodiscard]] Duration ExpectedWait(int priority) const;

 private:
  struct WorkspaceQueue {
    std::deque<AdmissionRequest> requests;
    double virtual_time = 0;  ///< Served cost divided by weight.
  };
  struct WorkspaceUsage {
    std::int64_t in_flight = 0;
    std::int64_t waiting = 0;
    double weight = 1.0;
  };
  using PriorityClass = std::map<std::string, WorkspaceQueue>;

  void Refuse(std::uint64_t id, Refusal refusal);
  void Enqueue(const AdmissionRequest& request);
  void RejectOverflow();
  void RejectExpired(TimePoint now);
  /// Takes the next request off the queues; with `below_fair_share`, only from
  /// workspaces below their fair share of the capacity.
  std::optional<AdmissionRequest> DequeueNext(bool below_fair_share);
  [[nodiscard]] bool IsBelowFairShare(const std::string& workspace) const;
  [[nodiscard]] std::int64_t UnreservedCapacity() const;
  void Remove(PriorityClass& queues, const std::string& workspace,
              std::size_t index);
  bool RemoveWaiting(std::uint64_t id);

  std::int64_t capacity_;
  std::int64_t queue_limit_;
  std::int64_t waiting_ = 0;
  std::map<int, PriorityClass, std::greater<>> queues_by_priority_;
  std::map<std::uint64_t, AdmissionRequest> running_;
  std::map<std::string, WorkspaceUsage> usage_;
  std::vector<std::pair<std::uint64_t, Refusal>> refused_;
  double virtual_now_ = 0;
  double completions_per_s_ = 0;
  TimePoint last_completion_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ADMISSION_H_
