#ifndef FIRMOOR_BASE_EVENT_LOG_H_
#define FIRMOOR_BASE_EVENT_LOG_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firmoor {

/// Structured log: one JSON object a line, see docs/OPERATIONS.md for the
/// fields. The volume is bounded by a number of lines a second for each kind,
/// and a reader that stops never blocks the caller: lines that do not fit the
/// pipe are dropped. Both losses are counted and reported in a `log-dropped`
/// line as soon as one fits. Lives in the event loop; not thread-safe.
class EventLog {
 public:
  /// Lines of one kind in one second; enough for every request of a VM at the
  /// standard load, and 0.4 MB/s at most in total.
  static constexpr int kLinesPerSecond = 200;

  /// Writes to `descriptor`, which is made non-blocking and not owned.
  explicit EventLog(int descriptor);

  /// Fields that each line bears, for instance the daemon's name.
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

  [[nodiscard]] bool HasRoom(const std::string& kind, TimePoint now);
  bool Put(std::string_view kind, const QJsonObject& fields);
  void ReportDropped();

  int descriptor_;
  QJsonObject common_;
  std::map<std::string, Window> windows_;
  std::string unsent_;         ///< Rest of a line that the pipe took in part.
  std::uint64_t dropped_ = 0;  ///< Since the last report.
  std::uint64_t dropped_total_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_BASE_EVENT_LOG_H_
