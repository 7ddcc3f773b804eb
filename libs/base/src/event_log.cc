#include "base/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <QJsonDocument>
#include <algorithm>
#include <utility>

#include "base/text.h"

namespace firmoor {
namespace {

constexpr Duration kRateLimitWindow{1'000};

}  // namespace

EventLog::EventLog(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::SetCommonFields(const QJsonObject& fields) { common_ = fields; }

bool EventLog::ConsumeRateLimit(const std::string& kind, TimePoint now) {
  auto& window = windows_[kind];
  if (now - window.start >= kRateLimitWindow) window = {now, 0};
  return ++window.lines <= kLinesPerSecond;
}

bool EventLog::WriteLine(std::string_view kind, const QJsonObject& fields) {
  QJsonObject line = common_;
  line["t_ms"] = static_cast<qint64>(WallClockMs());
  line["event"] = Text(kind);
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    line[field.key()] = field.value();
  }
  std::string bytes = std::exchange(unsent_, {});
  const std::size_t pending = bytes.size();
  bytes += QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString();
  bytes += '\n';
  const auto write_result =
      std::max<ssize_t>(0, write(descriptor_, bytes.data(), bytes.size()));
  const auto written = static_cast<std::size_t>(write_result);
  if (written == bytes.size()) return true;
  // The rest of a partially written line is kept for the next write; a line of
  // which nothing was written is dropped.
  const bool is_started = written > pending;
  unsent_ = is_started ? bytes.substr(written)
                       : bytes.substr(written, pending - written);
  return is_started;
}

void EventLog::ReportDropped() {
  const auto count = std::exchange(dropped_, 0);
  const bool put =
      WriteLine("log-dropped", {{"lines", static_cast<qint64>(count)}});
  if (!put) dropped_ = count;
}

void EventLog::Write(std::string_view kind, const QJsonObject& fields) {
  const bool within_limit = ConsumeRateLimit(std::string(kind), MonotonicNow());
  if (within_limit && dropped_ > 0) ReportDropped();
  if (within_limit && WriteLine(kind, fields)) return;
  ++dropped_;
  ++dropped_total_;
}

}  // namespace firmoor
