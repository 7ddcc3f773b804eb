#include "serving/admission.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace firmoor {
namespace {

// Time constant of the moving average of the completion rate.
constexpr double kRateTimeConstantS = 2.0;
// Part of the capacity reserved for workspaces below their fair share.
constexpr double kReservedShare = 0.1;
constexpr double kMsPerSecond = 1'000.0;
constexpr double kMinCompletionsPerS = 0.2;
constexpr Duration kMinRetryAfter{1'000};
constexpr Duration kMaxRetryAfter{60'000};

Duration ClampRetryAfter(Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

Admission::Admission(std::int64_t capacity, std::int64_t queue_limit)
    : capacity_(capacity), queue_limit_(queue_limit) {}

Duration Admission::ExpectedWait(int priority) const {
  if (waiting_ == 0 && running() < capacity_) return Duration(0);
  std::int64_t ahead = 1;
  for (const auto& [priority_level, queues] : queues_by_priority_) {
    if (priority_level < priority) break;
    for (const auto& [name, queue] : queues) {
      ahead += static_cast<std::int64_t>(queue.requests.size());
    }
  }
  const double rate = std::max(completions_per_s_, kMinCompletionsPerS);
  return Duration(static_cast<std::int64_t>(static_cast<double>(ahead) *
                                            kMsPerSecond / rate));
}

void Admission::Refuse(std::uint64_t id, Refusal refusal) {
  refusal.retry_after = ClampRetryAfter(refusal.retry_after);
  refused_.emplace_back(id, refusal);
}

void Admission::Submit(const AdmissionRequest& request, TimePoint now) {
  auto& usage = usage_[request.workspace];
  usage.weight = request.weight;
  if (usage.in_flight + usage.waiting >= request.max_in_flight) {
    return Refuse(request.id, {ResultCode::kWorkspaceLimit,
                               ExpectedWait(request.priority)});
  }
  const auto wait = ExpectedWait(request.priority);
  const bool rate_known = completions_per_s_ > 0;
  if (rate_known && now + wait > request.deadline) {
    return Refuse(request.id, {ResultCode::kDeadlineUnreachable, wait});
  }
  Enqueue(request);
  RejectOverflow();
}

void Admission::Enqueue(const AdmissionRequest& request) {
  auto& queue = queues_by_priority_[request.priority][request.workspace];
  if (queue.requests.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, virtual_now_);
  }
  queue.requests.push_back(request);
  ++usage_[request.workspace].waiting;
  ++waiting_;
}

void Admission::RejectOverflow() {
  // Requests that can start at once do not count towards the queue limit.
  const auto startable = std::max<std::int64_t>(0, capacity_ - running());
  while (waiting_ > queue_limit_ + startable) {
    std::string largest;
    double largest_share = -1;
    for (const auto& [name, usage] : usage_) {
      const double share = static_cast<double>(usage.waiting) / usage.weight;
      if (share <= largest_share) continue;
      largest = name;
      largest_share = share;
    }
    for (auto it = queues_by_priority_.rbegin();
         it != queues_by_priority_.rend(); ++it) {
      const auto found = it->second.find(largest);
      if (found == it->second.end() || found->second.requests.empty()) continue;
      const auto& newest = found->second.requests.back();
      Refuse(newest.id,
             {ResultCode::kOverloaded, ExpectedWait(newest.priority)});
      Remove(it->second, largest, found->second.requests.size() - 1);
      break;
    }
  }
}

void Admission::Remove(PriorityClass& queues, const std::string& workspace,
                       std::size_t index) {
  auto& requests = queues[workspace].requests;
  requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(index));
  --usage_[workspace].waiting;
  --waiting_;
  FIRMOOR_INVARIANT(waiting_ >= 0,
                    "the number of waiting requests is not negative");
}

bool Admission::RemoveWaiting(std::uint64_t id) {
  for (auto& [priority_level, queues] : queues_by_priority_) {
    for (auto& [name, queue] : queues) {
      for (std::size_t i = 0; i < queue.requests.size(); ++i) {
        if (queue.requests[i].id != id) continue;
        Remove(queues, name, i);
        return true;
      }
    }
  }
  return false;
}

void Admission::Finish(std::uint64_t id, TimePoint now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    RemoveWaiting(id);
    return;
  }
  --usage_[found->second.workspace].in_flight;
  running_.erase(found);
  const double interval_s =
      std::max(1.0, static_cast<double>((now - last_completion_).count())) /
      kMsPerSecond;
  last_completion_ = now;
  const double decay = std::exp(-interval_s / kRateTimeConstantS);
  completions_per_s_ = completions_per_s_ * decay + (1 - decay) / interval_s;
}

void Admission::Requeue(std::uint64_t id) {
  const auto found = running_.find(id);
  FIRMOOR_PRECONDITION(found != running_.end(),
                       "a requeued request is running");
  const AdmissionRequest request = found->second;
  running_.erase(found);
  auto& usage = usage_[request.workspace];
  --usage.in_flight;
  ++usage.waiting;
  ++waiting_;
  auto& queue = queues_by_priority_[request.priority][request.workspace];
  queue.virtual_time -= request.cost / request.weight;
  queue.requests.push_front(request);
}

void Admission::RejectExpired(TimePoint now) {
  for (auto& [priority_level, queues] : queues_by_priority_) {
    for (auto& [name, queue] : queues) {
      for (std::size_t i = queue.requests.size(); i-- > 0;) {
        const auto& request = queue.requests[i];
        if (request.deadline > now) continue;
        Refuse(request.id, {ResultCode::kDeadlineUnreachable,
                            ExpectedWait(request.priority)});
        Remove(queues, name, i);
      }
    }
  }
}

std::int64_t Admission::UnreservedCapacity() const {
  const auto reserved = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(capacity_) * kReservedShare));
  // A capacity of one cannot be divided.
  return std::max<std::int64_t>(std::min<std::int64_t>(capacity_, 1),
                                capacity_ - reserved);
}

bool Admission::IsBelowFairShare(const std::string& workspace) const {
  double weights = 0;
  for (const auto& [name, usage] : usage_) {
    if (usage.in_flight + usage.waiting > 0) weights += usage.weight;
  }
  const auto& own = usage_.at(workspace);
  const double share = static_cast<double>(capacity_) * own.weight /
                       std::max(weights, own.weight);
  return static_cast<double>(own.in_flight + 1) <= share;
}

std::optional<AdmissionRequest> Admission::DequeueNext(bool below_fair_share) {
  for (auto& [priority_level, queues] : queues_by_priority_) {
    WorkspaceQueue* best = nullptr;
    for (auto& [name, queue] : queues) {
      if (queue.requests.empty()) continue;
      if (below_fair_share && !IsBelowFairShare(name)) continue;
      if (best == nullptr || queue.virtual_time < best->virtual_time) {
        best = &queue;
      }
    }
    if (best == nullptr) continue;
    const AdmissionRequest request = best->requests.front();
    best->requests.pop_front();
    virtual_now_ = std::max(virtual_now_, best->virtual_time);
    best->virtual_time += request.cost / request.weight;
    --waiting_;
    auto& usage = usage_[request.workspace];
    --usage.waiting;
    ++usage.in_flight;
    return request;
  }
  return std::nullopt;
}

Admission::Changes Admission::TakeChanges(TimePoint now) {
  Changes changes;
  RejectExpired(now);
  while (running() < capacity_) {
    const auto next = DequeueNext(running() >= UnreservedCapacity());
    if (!next) break;
    running_.emplace(next->id, *next);
    // Without contention, no request needs precedence.
    const bool below_fair_share =
        waiting_ > 0 && IsBelowFairShare(next->workspace);
    changes.run.push_back({next->id, below_fair_share});
  }
  FIRMOOR_INVARIANT(waiting_ <= queue_limit_ + capacity_,
                    "the queue of a service is bounded");
  changes.refused = std::exchange(refused_, {});
  return changes;
}

}  // namespace firmoor
