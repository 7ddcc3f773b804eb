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

// Daemon and upstream events within this time before and after the request are
// included.
constexpr qint64 kContextBeforeMs = 5'000;
constexpr qint64 kContextAfterMs = 1'000;
// Links to upstreams may have been lost long before the request.
constexpr qint64 kLinksBeforeMs = 60'000;
// Events of a daemon that may affect any of its requests.
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

std::string FieldText(const QJsonObject& line, const char* field) {
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

/// Daemons, upstreams and time span named by the request's own events.
struct Scope {
  std::set<std::string> daemons;
  std::set<std::string> upstreams;
  std::set<std::string> services;
  std::set<std::string> hashes;  ///< Of the verdicts that rejected it.
  qint64 first_ms = 0;
  qint64 last_ms = 0;
};

Scope ScopeOf(const std::vector<QJsonObject>& own_events) {
  Scope scope;
  scope.first_ms = own_events.front()["t_ms"].toInteger();
  scope.last_ms = own_events.back()["t_ms"].toInteger();
  for (const auto& line : own_events) {
    scope.daemons.insert(FieldText(line, "daemon"));
    for (const auto* field : {"upstream", "from", "to"}) {
      const auto upstream = FieldText(line, field);
      if (!upstream.empty()) scope.upstreams.insert(upstream);
    }
    const auto service = FieldText(line, "service");
    if (!service.empty()) scope.services.insert(service);
    const auto hash = FieldText(line, "hash");
    if (!hash.empty()) scope.hashes.insert(hash);
    // The final event holds the duration of the request.
    const auto start_ms =
        line["t_ms"].toInteger() - line["total_ms"].toInteger();
    scope.first_ms = std::min(scope.first_ms, start_ms);
  }
  return scope;
}

bool IsContext(const QJsonObject& line, const Scope& scope) {
  // A verdict may have been passed long before the request it rejects.
  const auto event = FieldText(line, "event");
  if (event == "quarantine") {
    return scope.hashes.contains(FieldText(line, "hash"));
  }
  const auto time_ms = line["t_ms"].toInteger();
  const bool is_links_event = event == "upstream-links";
  const auto before_ms = is_links_event ? kLinksBeforeMs : kContextBeforeMs;
  const bool is_in_window = time_ms >= scope.first_ms - before_ms &&
                            time_ms <= scope.last_ms + kContextAfterMs;
  if (!is_in_window || !scope.daemons.contains(FieldText(line, "daemon"))) {
    return false;
  }
  if (is_links_event) {
    return scope.services.contains(FieldText(line, "service"));
  }
  const bool is_upstream_event =
      event == "upstream" || event == "upstream-limit" ||
      event == "upstream-broken" || event == "evacuation";
  const bool is_daemon_event =
      std::find(kDaemonEvents.begin(), kDaemonEvents.end(), event) !=
      kDaemonEvents.end();
  return is_daemon_event ||
         (is_upstream_event &&
          scope.upstreams.contains(FieldText(line, "upstream")));
}

/// Formats one event: time since the request began, daemon, event, fields.
std::string FormatEvent(const QJsonObject& line, qint64 start_ms) {
  std::string fields;
  for (auto field = line.begin(); field != line.end(); ++field) {
    const auto name = field.key().toStdString();
    if (name == "t_ms" || name == "event" || name == "daemon" ||
        name == "request") {
      continue;
    }
    fields += fmt::format(" {}={}", name, FieldText(line, name.c_str()));
  }
  return fmt::format("{:+8} ms  {}  {}:{}", line["t_ms"].toInteger() - start_ms,
                     FieldText(line, "daemon"), FieldText(line, "event"),
                     fields);
}

}  // namespace

std::vector<std::string> BuildRequestTimeline(const std::string& request_id,
                                              const QByteArray& log) {
  const auto lines = ParseLines(log);
  std::vector<QJsonObject> own_events;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(own_events),
               [&](const QJsonObject& line) {
                 return FieldText(line, "request") == request_id;
               });
  std::vector<std::string> timeline;
  if (own_events.empty()) return timeline;
  const auto scope = ScopeOf(own_events);
  for (const auto& line : lines) {
    const bool is_own = FieldText(line, "request") == request_id;
    if (is_own || IsContext(line, scope)) {
      timeline.push_back(FormatEvent(line, scope.first_ms));
    }
  }
  return timeline;
}

}  // namespace firmoor
