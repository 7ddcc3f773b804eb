#ifndef FIRMOOR_BASE_HANDLER_TIMER_H_
#define FIRMOOR_BASE_HANDLER_TIMER_H_

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// A handler of the event loop and how long it ran.
struct HandlerTime {
  std::string_view name;  ///< Empty: none ran.
  Duration time{0};

  bool operator==(const HandlerTime&) const = default;
};

/// A handler of the event loop and how often it ran.
struct HandlerRuns {
  std::string_view name;  ///< Empty: none ran.
  std::uint64_t runs = 0;

  bool operator==(const HandlerRuns&) const = default;
};

/// Measures and counts a handler of the event loop for as long as this object
/// lives. Used from the event loop's thread only.
class HandlerTimer {
 public:
  /// `name` must outlive the process's use of it; a string literal is expected.
  explicit HandlerTimer(std::string_view name);
  ~HandlerTimer();
  HandlerTimer(const HandlerTimer&) = delete;
  HandlerTimer& operator=(const HandlerTimer&) = delete;

  /// The handler that ran longest since the last call; of nested ones that took
  /// as long the inner one.
  static HandlerTime TakeLongest();

  /// The handler that ran most often since the last call.
  static HandlerRuns TakeMostFrequent();

 private:
  std::string_view name_;
  TimePoint started_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_HANDLER_TIMER_H_
