#ifndef FIRMOOR_SERVING_RECURRING_FAULT_H_
#define FIRMOOR_SERVING_RECURRING_FAULT_H_

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace firmoor {

/// Tells whether a fault that shows now and then may still go on. Performs no
/// I/O.
class RecurringFault {
 public:
  /// A fault is over no sooner than this after it has shown last. Requests that
  /// begin later are promised a whole answer.
  static constexpr Duration kMinTime{4'000};
  /// Nor any later than this, however seldom it has shown.
  static constexpr Duration kMaxTime{12'000};
  /// A fault that shows at random is over if it has not for so many times the
  /// mean time between the times it did: in one of twenty cases it is not.
  static constexpr int kMeanGaps = 3;
  /// Times that are remembered.
  static constexpr std::size_t kMaxTimes = 8;
  /// Two that are closer may be one that is told of on two ways.
  static constexpr Duration kSameTime{250};

  /// The fault has shown, perhaps a while ago.
  void OnSeen(TimePoint at);
  [[nodiscard]] bool MayGoOn(TimePoint now) const;

 private:
  /// From when it has shown last until it is over.
  [[nodiscard]] Duration TimeToEnd() const;

  std::deque<TimePoint> seen_;  ///< Ascending.
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_RECURRING_FAULT_H_
