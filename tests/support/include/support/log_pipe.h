#ifndef FIRMOOR_SUPPORT_LOG_PIPE_H_
#define FIRMOOR_SUPPORT_LOG_PIPE_H_

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <array>
#include <vector>

namespace firmoor {

/// A pipe that collects the lines of an event log.
class LogPipe {
 public:
  LogPipe() {
    REQUIRE(pipe(ends_.data()) == 0);
    REQUIRE(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~LogPipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  [[nodiscard]] int input() const { return ends_[1]; }
  /// The lines of `event` so far.
  std::vector<QJsonObject> Lines(const QString& event) {
    std::array<char, 64 * 1024> bytes{};
    while (true) {
      const auto size = read(ends_[0], bytes.data(), bytes.size());
      if (size <= 0) break;
      text_.append(bytes.data(), static_cast<qsizetype>(size));
    }
    std::vector<QJsonObject> lines;
    for (const auto& line : text_.split('\n')) {
      const auto object = QJsonDocument::fromJson(line).object();
      if (object["event"].toString() == event) lines.push_back(object);
    }
    return lines;
  }
  /// The only line of `event`; empty if there is none or several.
  QJsonObject OnlyLine(const QString& event) {
    const auto lines = Lines(event);
    REQUIRE(!text_.isEmpty());
    return lines.size() == 1 ? lines.front() : QJsonObject();
  }

 private:
  std::array<int, 2> ends_{};
  QByteArray text_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_LOG_PIPE_H_
