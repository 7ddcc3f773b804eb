#include "base/event_log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <QJsonDocument>
#include <array>
#include <string>
#include <vector>

namespace firmoor {
namespace {

/// A pipe that the test reads on demand.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  [[nodiscard]] int writer() const { return ends_[1]; }

  std::string ReadSome() {
    std::string bytes(1 << 16, '\0');
    const auto got = read(ends_[0], bytes.data(), bytes.size());
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return bytes;
  }

 private:
  std::array<int, 2> ends_{};
};

std::vector<QJsonObject> Lines(const std::string& bytes) {
  std::vector<QJsonObject> lines;
  for (const auto& line : QByteArray::fromStdString(bytes).split('\n')) {
    if (line.isEmpty()) continue;
    const auto document = QJsonDocument::fromJson(line);
    REQUIRE(document.isObject());
    lines.push_back(document.object());
  }
  return lines;
}

}  // namespace

TEST_CASE("a structured log") {
  Pipe pipe;
  EventLog log(pipe.writer());

  SUBCASE("writes one object per line, with the common fields") {
    log.SetCommonFields({{"daemon", "d1"}});
    log.Write("start", {{"zone", "z\"1"}});
    const auto lines = Lines(pipe.ReadSome());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["event"].toString() == "start");
    CHECK(lines[0]["daemon"].toString() == "d1");
    CHECK(lines[0]["zone"].toString() == "z\"1");
    CHECK(lines[0]["t_ms"].toInteger() > 0);
  }

  SUBCASE("limits the lines per second of one event kind") {
    for (int i = 0; i < EventLog::kLinesPerSecond + 50; ++i) {
      log.Write("request", {{"i", i}});
    }
    log.Write("start", {});
    CHECK(log.dropped() == 50);
    const auto lines = Lines(pipe.ReadSome());
    REQUIRE(lines.size() == EventLog::kLinesPerSecond + 2);
    SUBCASE("and reports the number of dropped lines before the next line") {
      CHECK(lines[EventLog::kLinesPerSecond]["event"] == "log-dropped");
      CHECK(lines[EventLog::kLinesPerSecond]["lines"].toInteger() == 50);
    }
  }

  SUBCASE("never blocks on a reader that stops") {
    const QString filler(8'000, 'x');
    int written = 0;
    // Exceeds the capacity of a pipe; distinct kinds avoid the rate limit.
    for (; written < 40; ++written) {
      log.Write("kind-" + std::to_string(written), {{"text", filler}});
    }
    CHECK(log.dropped() > 0);
    SUBCASE("and resumes with complete lines when the reader continues") {
      std::string bytes = pipe.ReadSome();
      log.Write("later", {});
      bytes += pipe.ReadSome();
      const auto lines = Lines(bytes);
      CHECK(lines.back()["event"] == "later");
      CHECK(lines[lines.size() - 2]["event"] == "log-dropped");
    }
  }
}

}  // namespace firmoor
