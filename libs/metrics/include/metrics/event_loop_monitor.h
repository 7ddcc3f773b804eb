#ifndef FIRMOOR_METRICS_EVENT_LOOP_MONITOR_H_
#define FIRMOOR_METRICS_EVENT_LOOP_MONITOR_H_

#include <QTimer>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/handler_timer.h"
#include "base/time.h"
#include "metrics/duration_histogram.h"

namespace firmoor {

class EventLog;

/// Why an event loop was late, as far as the process can tell.
enum class LoopDelayCause {
  kHandler,       ///< One handler of a connection took most of the time.
  kOther,         ///< The process computed: many handlers, or another one.
  kNotScheduled,  ///< It got no processor: frozen, or an overloaded machine.
};

/// "handler", "other", "not-scheduled".
std::string_view NameOf(LoopDelayCause cause);

/// `cpu`: processor time that the process used meanwhile.
LoopDelayCause CauseOf(Duration delay, const HandlerTime& longest,
                       Duration cpu);

/// Measures how late the event loop runs a timer, and logs delays with their
/// cause, so that a process that stood still is told from a lost link. Counts
/// the turns of the loop, and logs when there are so many that it cannot have
/// waited for anything, also while the clock stands still.
class EventLoopMonitor {
 public:
  /// `log` must outlive the monitor.
  explicit EventLoopMonitor(EventLog* log);

  void Start();

  /// A histogram of the delays, and the turns, in the Prometheus text format.
  [[nodiscard]] std::string PrometheusText() const;

 private:
  void OnTimer();
  void OnTurn();

  EventLog* log_;
  QTimer timer_;
  TimePoint due_;
  Duration cpu_{0};  ///< Of the process, at the last tick.
  DurationHistogram delays_;
  std::uint64_t turns_ = 0;
  std::uint64_t spins_ = 0;          ///< Lines about turns without a wait.
  std::uint64_t counted_turns_ = 0;  ///< At the last tick or such line.
};

}  // namespace firmoor

#endif  // FIRMOOR_METRICS_EVENT_LOOP_MONITOR_H_
