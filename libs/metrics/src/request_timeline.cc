#include "metrics/request_timeline.h"

#include <fmt/format.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace firmoor {
namespace {

// Context before and after the request that may explain it.
constexpr qint64 kBeforeMs = 5'000;
constexpr qint64 kAfterMs = 1'000;
// What a daemon learns that may explain any of its requests.
constexpr std::array<std::string_view, 9> kDaemonEvents = {
    "configuration",
    "dependency-lost",
    "dependency-regained",
    "drain",
    "start",
    "stop",
    "coordinator-lost",
    "coordinator-found",
    "readiness"};

std::string Text(const QJsonObject& line, const char* field) {
  return line[QLatin1String(field)].toVariant().toString().toStdString();
}

std::vector<QJsonObject> ParseLines(const QByteArray& log) {
  std::vector<QJsonObject> lines;
  for (const auto& raw : log.split('\n')) {
    const auto start = raw.indexOf('{');
    if (start < 0) continue;
    const auto document = QJsonDocument::fromJson(raw.mid(start));
    if (document.isObject()) lines.push_back(document.object());
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const QJsonObject& a, const QJsonObject& b) {
                     return a["t_ms"].toInteger() < b["t_ms"].toInteger();
                   });
  return lines;
}

/// What the lines of the request itself name.
struct Scope {
  std::set<std::string> daemons;
  std::set<std::string> upstreams;
  qint64 first_ms = 0;
  qint64 last_ms = 0;
};

Scope ScopeOf(const std::vector<QJsonObject>& own) {
  Scope scope;
  scope.first_ms = own.front()["t_ms"].toInteger();
  scope.last_ms = own.back()["t_ms"].toInteger();
  for (const auto& line : own) {
    scope.daemons.insert(Text(line, "daemon"));
    for (const auto* field : {"upstream", "from", "to"}) {
      const auto upstream = Text(line, field);
      if (!upstream.empty()) scope.upstreams.insert(upstream);
    }
    // The line of the end tells how long the request took.
    const auto began = line["t_ms"].toInteger() - line["total_ms"].toInteger();
    scope.first_ms = std::min(scope.first_ms, began);
  }
  return scope;
}

bool IsContext(const QJsonObject& line, const Scope& scope) {
  const auto at = line["t_ms"].toInteger();
  const bool in_time =
      at >= scope.first_ms - kBeforeMs && at <= scope.last_ms + kAfterMs;
  if (!in_time || !scope.daemons.contains(Text(line, "daemon"))) return false;
  const auto event = Text(line, "event");
  const bool of_upstream = event == "upstream" || event == "evacuation";
  const bool of_daemon = std::find(kDaemonEvents.begin(), kDaemonEvents.end(),
                                   event) != kDaemonEvents.end();
  return of_daemon ||
         (of_upstream && scope.upstreams.contains(Text(line, "upstream")));
}

/// One line for people: time since the request began, daemon, event, fields.
std::string Describe(const QJsonObject& line, qint64 began_ms) {
  std::string fields;
  for (auto field = line.begin(); field != line.end(); ++field) {
    const auto name = field.key().toStdString();
    if (name == "t_ms" || name == "event" || name == "daemon" ||
        name == "request") {
      continue;
    }
    fields += fmt::format(" {}={}", name, Text(line, name.c_str()));
  }
  return fmt::format("{:+8} ms  {}  {}:{}", line["t_ms"].toInteger() - began_ms,
                     Text(line, "daemon"), Text(line, "event"), fields);
}

}  // namespace

std::vector<std::string> BuildRequestTimeline(const std::string& request_id,
                                              const QByteArray& log) {
  const auto lines = ParseLines(log);
  std::vector<QJsonObject> own;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
               [&](const QJsonObject& line) {
                 return Text(line, "request") == request_id;
               });
  std::vector<std::string> story;
  if (own.empty()) return story;
  const auto scope = ScopeOf(own);
  for (const auto& line : lines) {
    const bool is_own = Text(line, "request") == request_id;
    if (is_own || IsContext(line, scope)) {
      story.push_back(Describe(line, scope.first_ms));
    }
  }
  return story;
}

}  // namespace firmoor
