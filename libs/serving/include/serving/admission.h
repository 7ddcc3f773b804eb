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

/// A request that asks to be admitted.
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string workspace;
  double weight = 1.0;               ///< Share of the workspace.
  int priority = 0;                  ///< Higher goes first.
  double cost = 1.0;                 ///< Tokens, or 1 for plain services.
  std::int64_t max_in_flight = 256;  ///< Of the workspace.
  TimePoint deadline;

  bool operator==(const AdmissionRequest&) const = default;
};

/// A refusal with the time after which coming back helps.
struct Refusal {
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after{1'000};

  bool operator==(const Refusal&) const = default;
};

/// Decides which requests of one service run, wait or are refused.
///
/// Higher priorities go first. Inside a priority, workspaces share by weight
/// (start-time fair queueing), so that a large one cannot starve a small one.
/// The last part of the capacity is kept for workspaces below their share, so
/// that a small one need not wait until a request of a large one ends.
/// A full queue drops the newest request of the workspace that is furthest
/// over its share. A request whose deadline the queue cannot make is refused
/// at once. Pure.
class Admission {
 public:
  /// A request that may run now.
  struct Admitted {
    std::uint64_t id = 0;
    bool below_fair_share = false;  ///< Its workspace runs less than its share.

    bool operator==(const Admitted&) const = default;
  };
  /// What changed since the last call.
  struct Changes {
    std::vector<Admitted> run;
    std::vector<std::pair<std::uint64_t, Refusal>> refused;

    bool operator==(const Changes&) const = default;
  };

  Admission(std::int64_t capacity, std::int64_t queue_limit);

  void SetCapacity(std::int64_t capacity) { capacity_ = capacity; }
  void SetQueueLimit(std::int64_t limit) { queue_limit_ = limit; }

  /// Takes a request; its fate shows in `TakeChanges`.
  void Submit(const AdmissionRequest& request, TimePoint now);

  /// A running request ended, or a waiting one was withdrawn.
  void Finish(std::uint64_t id, TimePoint now);

  /// Puts a running request back to the head of its queue, because no
  /// upstream could take it.
  void Requeue(std::uint64_t id);

  /// Requests to run or refuse now. Call after each event and periodically.
  Changes TakeChanges(TimePoint now);

  [[nodiscard]] std::int64_t waiting() const { return waiting_; }
  [[nodiscard]] std::int64_t running() const {
    return static_cast<std::int64_t>(running_.size());
  }

  /// Time until a new request of `priority` would start, from the measured
  /// drain rate.
  [[nodiscard]] Duration ExpectedWait(int priority) const;

 private:
  struct WorkspaceQueue {
    std::deque<AdmissionRequest> requests;
    double virtual_time = 0;  ///< Cost served over weight.
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
  void DropExpired(TimePoint now);
  /// The next request in order; with `below_fair_share` only of workspaces that
  /// run less than their share of the capacity.
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
