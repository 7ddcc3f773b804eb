#include "metrics/event_loop_monitor.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QMetaObject>
#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "base/event_log.h"
#include "base/exception_barrier.h"
#include "support/log_pipe.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr Duration kStandstill{600};

void Compute(Duration time) {
  const auto until = MonotonicNow() + time;
  while (MonotonicNow() < until) {
  }
}

}  // namespace

TEST_CASE("the cause of a delay follows from what ran meanwhile") {
  const HandlerTime slow{"a call's connection", Duration(900)};
  const HandlerTime quick{"a call's connection", Duration(100)};
  CHECK(CauseOf(Duration(1'000), slow, Duration(950)) ==
        LoopDelayCause::kHandler);
  CHECK(CauseOf(Duration(1'000), quick, Duration(950)) ==
        LoopDelayCause::kOther);
  // A process that is frozen in a handler.
  CHECK(CauseOf(Duration(1'000), slow, Duration(50)) ==
        LoopDelayCause::kNotScheduled);
}

// Guards against a process that stands still without a trace: neither a metric
// nor a log line told of it (review/2).
TEST_CASE("a delay of the event loop is told with its cause") {
  LogPipe pipe;
  EventLog log(pipe.input());
  EventLoopMonitor monitor(&log);
  monitor.Start();
  RunFor(50);
  std::string handler;

  SUBCASE("a handler of a connection that takes long") {
    handler = "a call's connection";
    RunWithBarrier(
        handler, [] { Compute(kStandstill); }, [] {});
  }
  SUBCASE("work outside of connections") { Compute(kStandstill); }
  SUBCASE("a process without a processor") {
    std::this_thread::sleep_for(kStandstill);
  }
  RunFor(200);
  const auto line = pipe.OnlyLine("event-loop-delay");
  CHECK(line["handler"].toString().toStdString() == handler);
  const auto cause = CauseOf(Duration(line["delay_ms"].toInt()),
                             {handler, Duration(line["handler_ms"].toInt())},
                             Duration(line["processor_ms"].toInt()));
  CHECK(line["cause"].toString().toStdString() == NameOf(cause));
  CHECK(line["delay_ms"].toInt() >= 400);
  const auto metrics = monitor.PrometheusText();
  CHECK(
      metrics.find("firmoor_event_loop_delay_seconds_bucket{le=\"0.25\"} 0") ==
      std::string::npos);
  CHECK(metrics.find("firmoor_event_loop_delay_seconds_sum 0.") !=
        std::string::npos);
}

// Guards against a process that spins without a trace (FAULT): its timers run
// in time, so that no delay is told.
TEST_CASE("an event loop that waits for nothing is told with its handler") {
  LogPipe pipe;
  EventLog log(pipe.input());
  EventLoopMonitor monitor(&log);
  monitor.Start();
  std::function<void()> run_again;
  QTimer timer;
  QObject context;

  SUBCASE("a timer that starts itself again") {
    QObject::connect(&timer, &QTimer::timeout, &timer, [] {
      const HandlerTimer handler("a timer without a delay");
    });
    timer.start(0);
  }
  SUBCASE("a queued call that queues itself again") {
    run_again = [&] {
      const HandlerTimer handler("a timer without a delay");
      QMetaObject::invokeMethod(&context, run_again, Qt::QueuedConnection);
    };
    run_again();
  }
  for (int i = 0; i < 20'000; ++i) QCoreApplication::processEvents();
  const auto lines = pipe.Lines("event-loop-spin");
  REQUIRE_FALSE(lines.empty());
  CHECK(lines.front()["turns"].toInt() >= 5'000);
  CHECK(lines.front()["handler"].toString() == "a timer without a delay");
  CHECK(lines.front()["handler_runs"].toInt() >= 1'000);
  CHECK(monitor.PrometheusText().find("firmoor_event_loop_spins_total 0") ==
        std::string::npos);
}

TEST_CASE("an event loop that waits is not told") {
  LogPipe pipe;
  EventLog log(pipe.input());
  EventLoopMonitor monitor(&log);
  monitor.Start();
  // Turns with a millisecond between them.
  RunFor(500);
  CHECK(pipe.Lines("event-loop-spin").empty());
  CHECK(monitor.PrometheusText().find("firmoor_event_loop_spins_total 0") !=
        std::string::npos);
}

}  // namespace firmoor
