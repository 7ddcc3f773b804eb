#ifndef FIRMOOR_BASE_EVENT_LOG_H_
#define FIRMOOR_BASE_EVENT_LOG_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// Structured log with one JSON object per line; docs/OPERATIONS.md lists the
/// fields. Each event kind is rate-limited, and writes never block: lines that
/// do not fit into the pipe are dropped. Dropped lines are counted and reported
/// in a `log-dropped` line once writing succeeds again. Used from the event
/// loop only; not thread-safe.
class EventLog {
 public:
  /// Maximum lines per second of one event kind. Covers every request of a VM
  /// at the standard load, and limits the output to 0.4 MB/s in total.
  static constexpr int kLinesPerSecond = 200;

  /// Writes to `descriptor`, which is made non-blocking and not owned.
  explicit EventLog(int descriptor);

  /// Sets fields that are added to each line, such as the daemon's name.
  void SetCommonFields(const QJsonObject& fields);

  /// Writes a line of `kind` with `fields`, or counts it as dropped.
  void Write(std::string_view kind, const QJsonObject& fields);

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

 private:
  struct Window {
    TimePoint start;
    int lines = 0;
  };

  [[nodiscard]] bool ConsumeRateLimit(const std::string& kind, TimePoint now);
  bool WriteLine(std::string_view kind, const QJsonObject& fields);
  void ReportDropped();

  int descriptor_;
  QJsonObject common_;
  std::map<std::string, Window> windows_;
  std::string unsent_;         ///< Remainder of a partially written line.
  std::uint64_t dropped_ = 0;  ///< Since the last report.
  std::uint64_t dropped_total_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_EVENT_LOG_H_
