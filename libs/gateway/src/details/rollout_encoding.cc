#include "details/rollout_encoding.h"

#include <QCborArray>
#include <algorithm>
#include <optional>
#include <vector>

#include "base/text.h"

namespace firmoor::details {
namespace {

// Larger counts are errors; their sums must not overflow.
constexpr std::int64_t kMaxCount = 1'000'000'000;
// Routes of a report.
constexpr std::size_t kMaxEntries = 256;
// Longer times are errors; sums with them must not overflow.
constexpr std::int64_t kMaxTimeMs = 100'000'000'000;

std::int64_t DecodeCount(const QCborValue& value) {
  return std::clamp<std::int64_t>(value.toInteger(), 0, kMaxCount);
}

std::optional<RolloutStage> DecodeStage(const QCborValue& value) {
  const auto number = value.toInteger(-1);
  if (number < 0 || number > static_cast<int>(RolloutStage::kReverted)) {
    return std::nullopt;
  }
  return static_cast<RolloutStage>(number);
}

/// Counts, then pairs of a bucket and its count.
QCborArray EncodeArm(const ArmCounts& arm) {
  QCborArray items{static_cast<qint64>(arm.ended),
                   static_cast<qint64>(arm.bad)};
  for (std::size_t i = 0; i < kPaceBuckets; ++i) {
    if (arm.pace.at(i) == 0) continue;
    items.append(static_cast<qint64>(i));
    items.append(static_cast<qint64>(arm.pace.at(i)));
  }
  return items;
}

ArmCounts DecodeArm(const QCborArray& items) {
  ArmCounts arm{DecodeCount(items.at(0)), DecodeCount(items.at(1)), {}};
  for (qsizetype i = 2; i + 1 < items.size(); i += 2) {
    const auto bucket = items.at(i).toInteger(-1);
    if (bucket < 0 || bucket >= static_cast<qint64>(kPaceBuckets)) continue;
    arm.pace.at(static_cast<std::size_t>(bucket)) =
        DecodeCount(items.at(i + 1));
  }
  return arm;
}

/// The routes that tell most of the target.
std::vector<EvidenceByRoute::const_iterator> ToldRoutes(
    const EvidenceByRoute& evidence) {
  std::vector<EvidenceByRoute::const_iterator> routes;
  routes.reserve(evidence.size());
  for (auto it = evidence.begin(); it != evidence.end(); ++it) {
    routes.push_back(it);
  }
  if (routes.size() <= kMaxEntries) return routes;
  std::stable_sort(routes.begin(), routes.end(), [](auto left, auto right) {
    return left->second.target.ended > right->second.target.ended;
  });
  routes.resize(kMaxEntries);
  return routes;
}

QCborMap EncodeReport(const RolloutReport& report) {
  QCborMap evidence;
  for (const auto& told : ToldRoutes(report.evidence)) {
    const auto& [route, arms] = *told;
    evidence[Text(route)] =
        QCborArray{EncodeArm(arms.baseline), EncodeArm(arms.target)};
  }
  QCborMap targets;
  for (const auto& [id, counts] : report.targets) {
    targets[Text(id)] = QCborArray{static_cast<qint64>(counts.ended),
                                   static_cast<qint64>(counts.bad),
                                   static_cast<qint64>(counts.timed),
                                   static_cast<qint64>(counts.pace_sum)};
  }
  return {{"target", Text(report.target)},
          {"age_ms", static_cast<qint64>(report.age.count())},
          {"over_ms", static_cast<qint64>(report.over.count())},
          {"stage", static_cast<int>(report.stage)},
          {"requests", static_cast<qint64>(report.requests)},
          {"sent", static_cast<qint64>(report.sent)},
          {"left", static_cast<qint64>(report.baseline_in_flight)},
          {"stopped", report.is_stopped},
          {"evidence", evidence},
          {"targets", targets}};
}

std::optional<RolloutReport> DecodeReport(const QCborMap& map) {
  const auto stage = DecodeStage(map[QLatin1String("stage")]);
  const auto age = map[QLatin1String("age_ms")].toInteger(-1);
  const auto over = map[QLatin1String("over_ms")].toInteger(-1);
  const auto evidence = map[QLatin1String("evidence")].toMap();
  const auto targets = map[QLatin1String("targets")].toMap();
  const bool is_valid = stage && age >= 0 && over >= 0;
  if (!is_valid) return std::nullopt;
  RolloutReport report;
  report.target = map[QLatin1String("target")].toString().toStdString();
  report.age = Duration(std::min<std::int64_t>(age, kMaxTimeMs));
  report.over = Duration(std::min<std::int64_t>(over, kMaxTimeMs));
  report.stage = *stage;
  report.requests = DecodeCount(map[QLatin1String("requests")]);
  report.sent = DecodeCount(map[QLatin1String("sent")]);
  report.baseline_in_flight = DecodeCount(map[QLatin1String("left")]);
  report.is_stopped = map[QLatin1String("stopped")].toBool();
  for (const auto& entry : evidence) {
    if (report.evidence.size() >= kMaxEntries) break;
    const auto arms = entry.second.toArray();
    report.evidence[entry.first.toString().toStdString()] = {
        DecodeArm(arms.at(0).toArray()), DecodeArm(arms.at(1).toArray())};
  }
  for (const auto& entry : targets) {
    const auto items = entry.second.toArray();
    report.targets[entry.first.toString().toStdString()] = {
        DecodeCount(items.at(0)), DecodeCount(items.at(1)),
        DecodeCount(items.at(2)), DecodeCount(items.at(3))};
  }
  return report;
}

}  // namespace

QCborMap EncodeRolloutReports(const RolloutReports& reports) {
  QCborMap map;
  for (const auto& [service, report] : reports) {
    map[Text(service)] = EncodeReport(report);
  }
  return map;
}

RolloutReports DecodeRolloutReports(const QCborValue& value) {
  RolloutReports reports;
  for (const auto& entry : value.toMap()) {
    auto report = DecodeReport(entry.second.toMap());
    if (report) {
      reports[entry.first.toString().toStdString()] = *std::move(report);
    }
  }
  return reports;
}

QCborMap EncodeRolloutReplies(const RolloutReplies& replies) {
  QCborMap map;
  for (const auto& [service, reply] : replies) {
    map[Text(service)] =
        QCborArray{Text(reply.target), static_cast<int>(reply.stage)};
  }
  return map;
}

RolloutReplies DecodeRolloutReplies(const QCborValue& value) {
  RolloutReplies replies;
  for (const auto& entry : value.toMap()) {
    const auto items = entry.second.toArray();
    if (const auto stage = DecodeStage(items.at(1))) {
      replies[entry.first.toString().toStdString()] = {
          items.at(0).toString().toStdString(), *stage};
    }
  }
  return replies;
}

}  // namespace firmoor::details
