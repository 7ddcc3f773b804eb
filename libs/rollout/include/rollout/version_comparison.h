#ifndef FIRMOOR_ROLLOUT_VERSION_COMPARISON_H_
#define FIRMOOR_ROLLOUT_VERSION_COMPARISON_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "rollout/rollout_messages.h"

namespace firmoor {

/// Bucket of a response that took `time_ms` where `expected_ms` is usual.
std::size_t PaceBucket(double time_ms, double expected_ms);

/// What a comparison found out about the target.
enum class VersionFault { kNone, kFails, kSlow };

/// "none", "fails" or "slow".
std::string_view NameOf(VersionFault fault);

/// Compares a version with the others of its service by sequential tests, one
/// for failures and one for the time of responses, in each route and for
/// failures also in all routes together.
///
/// Each test sums the log-likelihood ratio of "the target is bad" against "it
/// is like the baseline in the last seconds", and starts again at zero, so that
/// a version that turns bad late is found as fast. A run from zero reaches the
/// limit with a probability of at most `false_alarm` if the target is sound.
/// Performs no I/O.
class VersionComparison {
 public:
  explicit VersionComparison(double false_alarm);

  /// Adds the requests of one route that ended since the last call.
  void Add(const std::string& route, const ArmPair& ended, TimePoint now);
  [[nodiscard]] VersionFault fault() const { return fault_; }
  /// Route that showed the fault; empty: all together.
  [[nodiscard]] const std::string& route() const { return route_; }
  /// Starts again without evidence against the target.
  void Clear();

 private:
  struct Test {
    double ended = 0;  ///< Of the baseline, recent ones.
    double bad = 0;
    std::array<double, kPaceBuckets> pace{};
    TimePoint decayed_at;
    double fails = 0;  ///< Sum of the log-likelihood ratio.
    double slow = 0;
  };

  static void AddBaseline(Test* test, const ArmCounts& ended, TimePoint now);
  static void AddTarget(Test* test, const ArmCounts& ended);
  void Judge(const std::string& route, const Test& test);

  double limit_;
  std::map<std::string, Test> tests_;
  VersionFault fault_ = VersionFault::kNone;
  std::string route_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROLLOUT_VERSION_COMPARISON_H_
