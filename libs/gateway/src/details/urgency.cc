#include "details/urgency.h"

#include <fmt/format.h>

#include <QCborArray>
#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "base/text.h"

namespace firmoor::details {
namespace {

// Larger numbers of requests are errors; their sums must not overflow.
constexpr double kMaxCount = 1e6;

double DecodeBounded(const QCborValue& value, double max, double fallback) {
  const double number = value.toDouble(fallback);
  return std::isfinite(number) ? std::clamp(number, 0.0, max) : fallback;
}

QCborArray EncodePriority(int priority, const PriorityShare& share) {
  QCborMap workspaces;
  for (const auto& [name, own] : share.workspaces) workspaces[Text(name)] = own;
  return {priority, share.share, workspaces, share.ahead};
}

}  // namespace

KindsByService KindsOf(const RouteTableContent& content) {
  std::map<std::string, Duration> longest;
  std::map<std::string, ServiceKinds::Builder> builders;
  for (const auto& route : content.routes) {
    for (const auto& target : route.services) {
      builders[target.service].Add(route.priority, route.objective);
      auto& objective = longest[target.service];
      objective = std::max(objective, route.objective);
    }
  }
  for (const auto& workspace : content.workspaces) {
    if (!workspace.priority) continue;
    for (auto& [service, builder] : builders) {
      builder.Add(*workspace.priority, longest[service]);
    }
  }
  KindsByService kinds;
  for (const auto& service : content.services) {
    const auto found = builders.find(service.name);
    if (!service.engine || found == builders.end()) continue;
    kinds.emplace(service.name, found->second.Build());
  }
  return kinds;
}

WorkspaceWeight WeightsOf(const RouteTableContent& content) {
  std::map<std::string, double> weights;
  for (const auto& workspace : content.workspaces) {
    weights[workspace.name] = workspace.rate_per_s;
  }
  return [weights = std::move(weights)](const std::string& workspace) {
    const auto found = weights.find(workspace);
    return found == weights.end() ? 0 : found->second;
  };
}

std::string ShortageMetrics(const ShortageGate& gate, TimePoint now) {
  std::string text;
  for (const auto& [service, by_priority] : gate.counters()) {
    const auto* shares = gate.SharesOf(service, now);
    text += fmt::format("firmoor_admission_level{{service=\"{}\"}} {}\n",
                        service, shares == nullptr ? 1 : shares->level);
    for (const auto& [priority, counters] : by_priority) {
      const auto labels =
          fmt::format("service=\"{}\",priority=\"{}\"", service, priority);
      text +=
          fmt::format("firmoor_admission_share{{{}}} {}\n", labels,
                      shares == nullptr ? 1 : shares->ShareOf(priority, ""));
      for (const auto& [decision, count] :
           {std::pair("admitted", counters.admitted),
            std::pair("held", counters.held),
            std::pair("refused", counters.refused)}) {
        text +=
            fmt::format("firmoor_admission_total{{{},decision=\"{}\"}} {}\n",
                        labels, decision, count);
      }
    }
  }
  return text;
}

QCborMap EncodeShortageReport(const ShortageReport& report) {
  QCborMap services;
  for (const auto& [service, demand] : report.services) {
    QCborArray classes;
    for (const auto& [key, counts] : demand) {
      // Whole numbers take less room.
      classes.append(QCborArray{key.priority, Text(key.workspace),
                                static_cast<qint64>(counts.offered),
                                static_cast<qint64>(counts.admitted),
                                static_cast<qint64>(counts.short_of_room)});
    }
    services[Text(service)] = classes;
  }
  return services;
}

ShortageReport DecodeShortageReport(const QCborValue& value) {
  ShortageReport report;
  for (const auto& service : value.toMap()) {
    auto& demand = report.services[service.first.toString().toStdString()];
    for (const auto& entry : service.second.toArray()) {
      const auto items = entry.toArray();
      if (!items.at(0).isInteger()) continue;
      demand[{static_cast<int>(items.at(0).toInteger()),
              items.at(1).toString().toStdString()}] = {
          DecodeBounded(items.at(2), kMaxCount, 0),
          DecodeBounded(items.at(3), kMaxCount, 0),
          DecodeBounded(items.at(4), kMaxCount, 0)};
    }
  }
  return report;
}

QCborMap EncodeShortageReply(const ShortageReply& reply) {
  QCborMap services;
  for (const auto& [service, shares] : reply.services) {
    QCborArray priorities;
    for (const auto& [priority, share] : shares.priorities) {
      priorities.append(EncodePriority(priority, share));
    }
    services[Text(service)] = QCborArray{shares.level, priorities};
  }
  return {{"known", reply.is_known}, {"services", services}};
}

ShortageReply DecodeShortageReply(const QCborValue& value) {
  const auto map = value.toMap();
  ShortageReply reply;
  reply.is_known = map[QLatin1String("known")].toBool();
  for (const auto& service : map[QLatin1String("services")].toMap()) {
    const auto items = service.second.toArray();
    auto& shares = reply.services[service.first.toString().toStdString()];
    shares.level = DecodeBounded(items.at(0), 1, 1);
    for (const auto& entry : items.at(1).toArray()) {
      const auto of_priority = entry.toArray();
      if (!of_priority.at(0).isInteger()) continue;
      auto& share =
          shares.priorities[static_cast<int>(of_priority.at(0).toInteger())];
      share.share = DecodeBounded(of_priority.at(1), 1, 1);
      share.ahead = DecodeBounded(of_priority.at(3), 1, 1);
      for (const auto& own : of_priority.at(2).toMap()) {
        share.workspaces[own.first.toString().toStdString()] =
            DecodeBounded(own.second, 1, 1);
      }
    }
  }
  return reply;
}

}  // namespace firmoor::details
