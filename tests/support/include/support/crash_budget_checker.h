#ifndef FIRMOOR_SUPPORT_CRASH_BUDGET_CHECKER_H_
#define FIRMOOR_SUPPORT_CRASH_BUDGET_CHECKER_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Checks how often requests that crash upstreams are still sent, and whether
/// sound requests beside them are still served.
class CrashBudgetChecker {
 public:
  struct Rule {
    std::size_t crashes = 5;       ///< After which daemons have to know.
    Duration grace{4'000};         ///< From this crash on.
    std::size_t allowed = 3;       ///< Requests sent later than that.
    double min_sound_share = 0.5;  ///< Of what was served before.
    std::size_t min_requests = 20;
  };
  /// Requests with a prompt chunk that crashes upstreams.
  static Rule ForPromptChunk() { return {}; }
  /// One request that crashes upstreams and comes again.
  static Rule ForRequest() { return {.crashes = 3}; }

  explicit CrashBudgetChecker(Rule rule) : rule_(rule) {}

  /// An upstream crashed under the culprit. Call in the order of time.
  void OnCrash(TimePoint at) { crashes_.push_back(at); }
  /// A request with the culprit was sent by a daemon in touch and reached an
  /// upstream.
  void OnArrival(TimePoint sent_at) { arrivals_.push_back(sent_at); }
  /// The first attempt of a sound request, sent at `at`, was served or not.
  void OnSound(TimePoint at, bool served) { sound_.push_back({at, served}); }

  [[nodiscard]] std::size_t crashes() const { return crashes_.size(); }
  /// Requests with the culprit that were sent later than allowed.
  [[nodiscard]] std::size_t LateArrivals() const {
    if (crashes_.size() < rule_.crashes) return 0;
    const auto known_at = crashes_[rule_.crashes - 1] + rule_.grace;
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](TimePoint at) { return at > known_at; }));
  }
  [[nodiscard]] bool ExceedsBudget() const {
    return LateArrivals() > rule_.allowed;
  }
  /// Whether sound requests were served too rarely while the culprit came.
  [[nodiscard]] bool LosesSoundRequests() const {
    if (crashes_.empty()) return false;
    const auto last = std::min(rule_.crashes, crashes_.size()) - 1;
    const auto before = ShareIn({}, crashes_.front());
    const auto after = ShareIn(crashes_[last] + 2 * rule_.grace, {});
    return before && after && *after < rule_.min_sound_share * *before;
  }

 private:
  struct Sound {
    TimePoint at;
    bool served = false;
  };

  [[nodiscard]] std::optional<double> ShareIn(
      std::optional<TimePoint> from, std::optional<TimePoint> until) const {
    std::size_t total = 0;
    std::size_t served = 0;
    for (const auto& request : sound_) {
      if ((from && request.at < *from) || (until && request.at >= *until)) {
        continue;
      }
      ++total;
      if (request.served) ++served;
    }
    if (total < rule_.min_requests) return std::nullopt;
    return static_cast<double>(served) / static_cast<double>(total);
  }

  Rule rule_;
  std::vector<TimePoint> crashes_;
  std::vector<TimePoint> arrivals_;
  std::vector<Sound> sound_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_CRASH_BUDGET_CHECKER_H_
