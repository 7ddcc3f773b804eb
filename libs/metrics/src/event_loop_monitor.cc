#include "metrics/event_loop_monitor.h"

#include <fmt/format.h>
#include <time.h>

#include <QAbstractEventDispatcher>
#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/text.h"

namespace firmoor {
namespace {

constexpr Duration kPeriod{100};
// Well below the shortest time-outs of requests and links.
constexpr Duration kMinLoggedDelay{250};
// Turns within a period of a loop that waits for nothing. A turn that reads and
// answers takes more than 20 us.
constexpr std::uint64_t kSpinningTurns = 5'000;

Duration ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace

std::string_view NameOf(LoopDelayCause cause) {
  constexpr std::string_view kNames[] = {"handler", "other", "not-scheduled"};
  return kNames[static_cast<int>(cause)];
}

LoopDelayCause CauseOf(Duration delay, const HandlerTime& longest,
                       Duration cpu) {
  if (cpu < delay / 2) return LoopDelayCause::kNotScheduled;
  return longest.time >= delay / 2 ? LoopDelayCause::kHandler
                                   : LoopDelayCause::kOther;
}

EventLoopMonitor::EventLoopMonitor(EventLog* log)
    : log_(log),
      delays_("firmoor_event_loop_delay_seconds",
              {0.0, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0}) {
  timer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { OnTimer(); });
}

void EventLoopMonitor::Start() {
  HandlerTimer::TakeLongest();
  HandlerTimer::TakeMostFrequent();
  cpu_ = ProcessorTime();
  due_ = MonotonicNow() + kPeriod;
  timer_.start(kPeriod);
  QObject::connect(QAbstractEventDispatcher::instance(),
                   &QAbstractEventDispatcher::awake, &timer_,
                   [this] { OnTurn(); });
}

std::string EventLoopMonitor::PrometheusText() const {
  return delays_.PrometheusText() + fmt::format(
                                        "firmoor_event_loop_turns_total {}\n"
                                        "firmoor_event_loop_spins_total {}\n",
                                        turns_, spins_);
}

void EventLoopMonitor::OnTurn() {
  ++turns_;
  if (turns_ - counted_turns_ < kSpinningTurns) return;
  ++spins_;
  const auto turns = turns_ - std::exchange(counted_turns_, turns_);
  const auto frequent = HandlerTimer::TakeMostFrequent();
  const auto since_tick = MonotonicNow() - (due_ - kPeriod);
  log_->Write("event-loop-spin",
              {{"turns", static_cast<qint64>(turns)},
               {"since_tick_ms", static_cast<qint64>(since_tick.count())},
               {"handler", Text(frequent.name)},
               {"handler_runs", static_cast<qint64>(frequent.runs)}});
}

void EventLoopMonitor::OnTimer() {
  const auto now = MonotonicNow();
  const auto delay = std::max(now - due_, Duration(0));
  const auto used = ProcessorTime();
  const auto cpu = used - std::exchange(cpu_, used);
  const auto longest = HandlerTimer::TakeLongest();
  HandlerTimer::TakeMostFrequent();
  counted_turns_ = turns_;
  due_ = now + kPeriod;
  timer_.start(kPeriod);
  delays_.Record(delay);
  if (delay < kMinLoggedDelay) return;
  log_->Write("event-loop-delay",
              {{"delay_ms", static_cast<qint64>(delay.count())},
               {"cause", Text(NameOf(CauseOf(delay, longest, cpu)))},
               {"handler", Text(longest.name)},
               {"handler_ms", static_cast<qint64>(longest.time.count())},
               {"processor_ms", static_cast<qint64>(cpu.count())}});
}

}  // namespace firmoor
