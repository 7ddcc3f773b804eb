// Replays recorded traces of daemons against the outcomes stated beside them.
// See tests/traces/README.md for the format.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <map>
#include <string>
#include <vector>

#include "serving/attempt_policy.h"
#include "serving/upstream_table.h"

namespace firmoor {
namespace {

using Line = QJsonObject;

QJsonObject ReadJson(const QString& name) {
  QFile file(name);
  REQUIRE(file.open(QIODevice::ReadOnly));
  return QJsonDocument::fromJson(file.readAll()).object();
}

std::vector<Line> ReadTrace(const QString& name) {
  QFile file(name);
  REQUIRE(file.open(QIODevice::ReadOnly));
  std::vector<Line> lines;
  while (!file.atEnd()) {
    lines.push_back(QJsonDocument::fromJson(file.readLine()).object());
  }
  return lines;
}

AttemptEnd EndOf(const Line& line) {
  AttemptEnd end;
  end.end = static_cast<HttpCallEnd>(line["end"].toInt());
  end.may_have_been_sent = line["may_have_left"].toBool();
  end.declared_not_run = line["declared_not_run"].toBool();
  end.stream_complete = line["stream_complete"].toBool();
  end.overloaded = line["overloaded"].toBool();
  return end;
}

AttemptContext ContextOf(const Line& line) {
  AttemptContext context;
  context.idempotent = line["idempotent"].toBool();
  context.answer_started = line["answer_started"].toBool();
  context.resumable = line["resumable"].toBool();
  context.attempts = line["attempts"].toInt();
  context.time_left = Duration(line["time_left"].toInteger());
  context.retry_allowed = line["retry_allowed"].toBool();
  context.earlier_unknown = line["earlier_unknown"].toBool();
  return context;
}

/// What a trace comes to.
struct Totals {
  int requests = 0;
  int sends = 0;
  int failures = 0;
  int unknown = 0;
  int lasting_daemons = 0;
};

class Replay {
 public:
  void Take(const Line& line) {
    struct Kind {
      const char* event;
      void (Replay::*take)(const Line&);
    };
    static constexpr Kind kKinds[] = {{"send", &Replay::Send},
                                      {"end", &Replay::End},
                                      {"done", &Replay::Done},
                                      {"leaving", &Replay::Leaving}};
    for (const auto& kind : kKinds) {
      if (line["event"].toString() == kind.event) (this->*kind.take)(line);
    }
  }
  [[nodiscard]] const Totals& totals() const { return totals_; }

 private:
  void Send(const Line& line) {
    ++totals_.sends;
    const auto mark = leaving_.find(line["daemon"].toString() + "/" +
                                    line["upstream"].toString());
    if (mark != leaving_.end()) {
      CHECK(line["ms"].toInteger() - mark->second <= kLeavingGrace.count());
    }
  }

  void End(const Line& line) {
    const AttemptDecision recorded{
        static_cast<NextStep>(line["step"].toInt()),
        static_cast<ResultCode>(line["code"].toInt()),
        static_cast<RequestOutcome>(line["outcome"].toInt())};
    CHECK(DecideAttempt(EndOf(line), ContextOf(line)) == recorded);
    if (line["idempotent"].toBool()) return;
    const bool may_have_run =
        line["may_have_left"].toBool() && !line["declared_not_run"].toBool();
    auto& sent = may_have_run_[line["id"].toString()];
    sent += may_have_run ? 1 : 0;
    CHECK(sent <= 1);
  }

  void Done(const Line& line) {
    ++totals_.requests;
    CHECK(++done_[line["daemon"].toString() + line["id"].toString()] == 1);
    if (line["code"].toInt() != 0) ++totals_.failures;
    const auto outcome = static_cast<RequestOutcome>(line["outcome"].toInt());
    if (outcome == RequestOutcome::kUnknown) ++totals_.unknown;
    if (outcome == RequestOutcome::kNotRun) {
      CHECK(may_have_run_[line["id"].toString()] == 0);
    }
  }

  void Leaving(const Line& line) {
    leaving_.emplace(
        line["daemon"].toString() + "/" + line["upstream"].toString(),
        line["ms"].toInteger());
  }

  Totals totals_;
  std::map<QString, qint64> leaving_;
  std::map<QString, int> may_have_run_;
  std::map<QString, int> done_;
};

}  // namespace

TEST_CASE("recorded traces reach their stated outcomes") {
  const QDir directory(FIRMOOR_TRACES);
  const auto names = directory.entryList({"*.jsonl"});
  REQUIRE(names.size() >= 2);
  for (const auto& name : names) {
    CAPTURE(name.toStdString());
    Replay replay;
    for (const auto& line : ReadTrace(directory.filePath(name))) {
      replay.Take(line);
    }
    const auto base = name.left(name.size() - 6);
    const auto stated = ReadJson(directory.filePath(base + ".json"));
    const auto& totals = replay.totals();
    CHECK(totals.requests >= stated["least_requests"].toInt());
    CHECK(totals.sends <=
          totals.requests * stated["most_sends_per_request"].toDouble());
    CHECK(totals.failures <=
          totals.requests * stated["most_failed_share"].toDouble());
    CHECK(totals.unknown <=
          totals.requests * stated["most_unknown_share"].toDouble());
  }
}

}  // namespace firmoor
