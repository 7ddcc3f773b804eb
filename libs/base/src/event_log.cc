#include "base/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <QJsonDocument>
#include <algorithm>
#include <utility>

#include "base/text.h"

namespace firmoor {
namespace {

constexpr Duration kWindow{1'000};

}  // namespace

EventLog::EventLog(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::SetCommonFields(const QJsonObject& fields) { common_ = fields; }

bool EventLog::HasRoom(const std::string& kind, TimePoint now) {
  auto& window = windows_[kind];
  if (now - window.start >= kWindow) window = {now, 0};
  return ++window.lines <= kLinesPerSecond;
}

bool EventLog::Put(std::string_view kind, const QJsonObject& fields) {
  QJsonObject line = common_;
  line["t_ms"] = static_cast<qint64>(WallClockMs());
  line["event"] = Text(kind);
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    line[field.key()] = field.value();
  }
  std::string bytes = std::exchange(unsent_, {});
  const std::size_t old = bytes.size();
  bytes += QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString();
  bytes += '\n';
  const auto wrote =
      std::max<ssize_t>(0, write(descriptor_, bytes.data(), bytes.size()));
  const auto taken = static_cast<std::size_t>(wrote);
  if (taken == bytes.size()) return true;
  // A line that was begun is kept whole; one that was not begun is dropped.
  const bool begun = taken > old;
  unsent_ = begun ? bytes.substr(taken) : bytes.substr(taken, old - taken);
  return begun;
}

void EventLog::ReportDropped() {
  const auto count = std::exchange(dropped_, 0);
  const bool put = Put("log-dropped", {{"lines", static_cast<qint64>(count)}});
  if (!put) dropped_ = count;
}

void EventLog::Write(std::string_view kind, const QJsonObject& fields) {
  const bool room = HasRoom(std::string(kind), MonotonicNow());
  if (room && dropped_ > 0) ReportDropped();
  if (room && Put(kind, fields)) return;
  ++dropped_;
  ++dropped_total_;
}

}  // namespace firmoor
