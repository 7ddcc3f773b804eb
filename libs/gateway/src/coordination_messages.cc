#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <algorithm>
#include <cmath>

#include "base/text.h"
#include "details/quarantine_encoding.h"
#include "details/quota_encoding.h"
#include "details/rollout_encoding.h"
#include "details/stream_end_encoding.h"
#include "details/urgency.h"
#include "gateway/coordination.h"
#include "peer/peer_message.h"

namespace firmoor {
namespace {

// Larger numbers of requests are errors; their sums must not overflow.
constexpr std::int64_t kMaxCount = 1'000'000;

using details::DecodeQuarantineReply;
using details::DecodeQuarantineReport;
using details::DecodeQuotaGrants;
using details::DecodeQuotaUses;
using details::DecodeRolloutReplies;
using details::DecodeRolloutReports;
using details::EncodeQuarantineReply;
using details::EncodeQuarantineReport;
using details::EncodeQuotaGrants;
using details::EncodeQuotaUses;
using details::EncodeRolloutReplies;
using details::EncodeRolloutReports;

QCborValue EncodeOptional(const std::optional<double>& value) {
  return value ? QCborValue(*value) : QCborValue(nullptr);
}

QCborMap EncodeTokens(const std::map<std::string, double>& tokens) {
  QCborMap map;
  for (const auto& [workspace, amount] : tokens) map[Text(workspace)] = amount;
  return map;
}

std::map<std::string, double> DecodeTokens(const QCborValue& value) {
  std::map<std::string, double> tokens;
  for (const auto& entry : value.toMap()) {
    tokens[entry.first.toString().toStdString()] = entry.second.toDouble();
  }
  return tokens;
}

QCborMap EncodeUsage(const UsageByWindow& usage) {
  QCborMap windows;
  for (const auto& [window, counts] : usage) {
    QCborMap map;
    for (const auto& [workspace, count] : counts) {
      map[Text(workspace)] = static_cast<qint64>(count);
    }
    windows[static_cast<qint64>(window)] = map;
  }
  return windows;
}

UsageByWindow DecodeUsage(const QCborValue& value) {
  UsageByWindow usage;
  for (const auto& window : value.toMap()) {
    auto& counts = usage[window.first.toInteger()];
    for (const auto& entry : window.second.toMap()) {
      counts[entry.first.toString().toStdString()] = entry.second.toInteger();
    }
  }
  return usage;
}

/// Reads the run, rate and age of an announcement, the first three items.
/// Returns false if they are invalid.
template <typename Announcement>
bool DecodeAnnouncement(const QCborArray& items, Announcement* announcement) {
  announcement->born_ms = items.at(0).toInteger();
  announcement->age = Duration(items.at(2).toInteger());
  if (items.at(1).isNull()) return true;
  const double rate = items.at(1).toDouble();
  announcement->rate_per_s = rate;
  return std::isfinite(rate) && rate > 0 && announcement->age >= Duration(0);
}

QCborMap EncodeBrittleness(
    const std::map<std::string, BrittlenessReport>& brittle) {
  QCborMap map;
  for (const auto& [service, report] : brittle) {
    map[Text(service)] = QCborArray{EncodeOptional(report.rejection_tolerance),
                                    static_cast<qint64>(report.age.count())};
  }
  return map;
}

/// Skips malformed entries.
std::map<std::string, BrittlenessReport> DecodeBrittleness(
    const QCborValue& value) {
  std::map<std::string, BrittlenessReport> brittle;
  for (const auto& entry : value.toMap()) {
    const auto items = entry.second.toArray();
    BrittlenessReport report;
    report.age = Duration(items.at(1).toInteger(-1));
    if (!items.at(0).isNull()) {
      report.rejection_tolerance = items.at(0).toDouble(-1);
    }
    const double tolerance = report.rejection_tolerance.value_or(0);
    const bool is_valid =
        std::isfinite(tolerance) && tolerance >= 0 && report.age >= Duration(0);
    if (is_valid) brittle[entry.first.toString().toStdString()] = report;
  }
  return brittle;
}

QCborMap EncodeSlotReports(
    const std::map<std::string, UpstreamSlotReport>& slots) {
  QCborMap map;
  for (const auto& [id, report] : slots) {
    map[Text(id)] = QCborArray{
        static_cast<qint64>(report.born_ms),
        static_cast<qint64>(report.room),
        static_cast<qint64>(report.in_flight),
        static_cast<qint64>(report.held),
        static_cast<qint64>(report.wanted),
        static_cast<qint64>(report.rejected),
        Text(report.service),
    };
  }
  return map;
}

/// A number of requests; zero if it is missing or malformed.
std::int64_t DecodeCount(const QCborValue& value) {
  return std::clamp<std::int64_t>(value.toInteger(), 0, kMaxCount);
}

std::map<std::string, UpstreamSlotReport> DecodeSlotReports(
    const QCborValue& value) {
  std::map<std::string, UpstreamSlotReport> slots;
  for (const auto& entry : value.toMap()) {
    const auto items = entry.second.toArray();
    slots[entry.first.toString().toStdString()] = {
        items.at(0).toInteger(),
        DecodeCount(items.at(1)),
        DecodeCount(items.at(2)),
        DecodeCount(items.at(3)),
        DecodeCount(items.at(4)),
        DecodeCount(items.at(5)),
        items.at(6).toString().toStdString()};
  }
  return slots;
}

QCborMap EncodeSlotGrants(
    const std::map<std::string, UpstreamSlotGrant>& slots) {
  QCborMap map;
  for (const auto& [id, grant] : slots) {
    map[Text(id)] =
        QCborArray{static_cast<qint64>(grant.born_ms),
                   static_cast<qint64>(grant.slots), grant.is_contested};
  }
  return map;
}

std::map<std::string, UpstreamSlotGrant> DecodeSlotGrants(
    const QCborValue& value) {
  std::map<std::string, UpstreamSlotGrant> slots;
  for (const auto& entry : value.toMap()) {
    const auto items = entry.second.toArray();
    slots[entry.first.toString().toStdString()] = {items.at(0).toInteger(),
                                                   DecodeCount(items.at(1)),
                                                   items.at(2).toBool()};
  }
  return slots;
}

QCborMap EncodeLimitReports(const UpstreamLimitReports& reports) {
  QCborMap upstreams;
  for (const auto& [id, report] : reports.upstreams) {
    upstreams[Text(id)] = QCborArray{static_cast<qint64>(report.born_ms),
                                     EncodeOptional(report.rate_per_s),
                                     static_cast<qint64>(report.age.count()),
                                     report.wanted_per_s,
                                     static_cast<qint64>(report.waiting),
                                     static_cast<qint64>(report.returned)};
  }
  return {{"term", static_cast<qint64>(reports.term)},
          {"cursor", static_cast<qint64>(reports.cursor)},
          {"upstreams", upstreams},
          {"keeps_slots", reports.keeps_slots},
          {"number", static_cast<qint64>(reports.number)},
          {"brittle", EncodeBrittleness(reports.brittle)},
          {"slots", EncodeSlotReports(reports.slots)}};
}

Result<UpstreamLimitReports> DecodeLimitReports(const QCborValue& value) {
  const auto map = value.toMap();
  UpstreamLimitReports reports;
  reports.term = map[QLatin1String("term")].toInteger();
  reports.cursor = map[QLatin1String("cursor")].toInteger();
  for (const auto& entry : map[QLatin1String("upstreams")].toMap()) {
    const auto items = entry.second.toArray();
    UpstreamLimitReport report;
    report.wanted_per_s = items.at(3).toDouble();
    report.waiting = items.at(4).toInteger();
    report.returned = items.at(5).toInteger();
    if (!DecodeAnnouncement(items, &report) ||
        !std::isfinite(report.wanted_per_s)) {
      return Fail(ResultCode::kBadMessage,
                  "The daemon report has a malformed upstream limit");
    }
    reports.upstreams[entry.first.toString().toStdString()] = report;
  }
  reports.keeps_slots = map[QLatin1String("keeps_slots")].toBool();
  reports.number = map[QLatin1String("number")].toInteger();
  reports.brittle = DecodeBrittleness(map[QLatin1String("brittle")]);
  reports.slots = DecodeSlotReports(map[QLatin1String("slots")]);
  return reports;
}

QCborMap EncodeLimitReply(const UpstreamLimitReply& reply) {
  QCborMap upstreams;
  for (const auto& [id, grant] : reply.upstreams) {
    upstreams[Text(id)] = QCborArray{static_cast<qint64>(grant.born_ms),
                                     EncodeOptional(grant.rate_per_s),
                                     static_cast<qint64>(grant.age.count()),
                                     static_cast<qint64>(grant.permits),
                                     static_cast<qint64>(grant.next_in.count()),
                                     grant.daemon_rate_per_s};
  }
  return {{"term", static_cast<qint64>(reply.term)},
          {"cursor", static_cast<qint64>(reply.cursor)},
          {"grants", reply.grants_permits},
          {"grants_slots", reply.grants_slots},
          {"number", static_cast<qint64>(reply.number)},
          {"upstreams", upstreams},
          {"brittle", EncodeBrittleness(reply.brittle)},
          {"slots", EncodeSlotGrants(reply.slots)}};
}

Result<UpstreamLimitReply> DecodeLimitReply(const QCborValue& value) {
  const auto map = value.toMap();
  UpstreamLimitReply reply;
  reply.term = map[QLatin1String("term")].toInteger();
  reply.cursor = map[QLatin1String("cursor")].toInteger();
  reply.grants_permits = map[QLatin1String("grants")].toBool();
  for (const auto& entry : map[QLatin1String("upstreams")].toMap()) {
    const auto items = entry.second.toArray();
    UpstreamLimitGrant grant;
    grant.permits = items.at(3).toInteger();
    grant.next_in = Duration(items.at(4).toInteger());
    grant.daemon_rate_per_s = items.at(5).toDouble();
    if (!DecodeAnnouncement(items, &grant)) {
      return Fail(ResultCode::kBadMessage,
                  "The coordinator's reply has a malformed upstream limit");
    }
    reply.upstreams[entry.first.toString().toStdString()] = grant;
  }
  reply.grants_slots = map[QLatin1String("grants_slots")].toBool();
  reply.number = map[QLatin1String("number")].toInteger();
  reply.brittle = DecodeBrittleness(map[QLatin1String("brittle")]);
  reply.slots = DecodeSlotGrants(map[QLatin1String("slots")]);
  return reply;
}

QCborArray EncodeEndpoints(const std::vector<Endpoint>& endpoints) {
  QCborArray array;
  for (const auto& endpoint : endpoints) {
    array.append(Text(endpoint.ToString()));
  }
  return array;
}

std::vector<Endpoint> DecodeEndpoints(const QCborValue& value) {
  std::vector<Endpoint> endpoints;
  const auto array = value.toArray();
  for (const auto& item : array) {
    const auto endpoint = Endpoint::Parse(item.toString().toStdString());
    if (endpoint.port != 0) endpoints.push_back(endpoint);
  }
  return endpoints;
}

QCborValue EncodeEra(const std::optional<std::int64_t>& era) {
  return era ? QCborValue(static_cast<qint64>(*era)) : QCborValue(nullptr);
}

/// Empty in messages of earlier releases.
std::optional<std::int64_t> DecodeEra(const QCborValue& value) {
  if (!value.isInteger() || value.toInteger() < 0) return std::nullopt;
  return value.toInteger();
}

}  // namespace

QByteArray DaemonReport::Encode() const {
  QCborMap load_map;
  for (const auto& [service, load] : loads) {
    load_map[Text(service)] =
        QCborMap{{"in_flight", load.in_flight}, {"tokens", load.tokens_per_s}};
  }
  QCborMap map{
      {"daemon", Text(daemon)},
      {"life", Text(instance_id)},
      {"wall_ms", static_cast<qint64>(wall_ms)},
      {"store_era", EncodeEra(store_era)},
      {"leaves", is_draining},
      {"region", Text(location.region)},
      {"peers", Text(location.peer_endpoint.ToString())},
      {"zone", Text(location.availability_zone)},
      {"uptime_ms", uptime ? QCborValue(static_cast<qint64>(uptime->count()))
                           : QCborValue(nullptr)},
      {"cores", cores},
      {"directory",
       directory ? EncodeDirectoryPosition(*directory) : QCborValue(nullptr)},
      {"usage", EncodeUsage(usage)},
      {"quotas", EncodeQuotaUses(quotas)},
      {"loads", load_map},
      {"shortage", details::EncodeShortageReport(shortage)},
      {"upstream_limits", EncodeLimitReports(upstream_limits)},
      {"quarantine", EncodeQuarantineReport(quarantine)}};
  if (!rollouts.empty()) {
    map[QLatin1String("rollouts")] = EncodeRolloutReports(rollouts);
  }
  if (!stream_ends.empty()) {
    map[QLatin1String("stream_ends")] =
        details::EncodeStreamEndReports(stream_ends);
  }
  return QCborValue(map).toCbor();
}

Result<DaemonReport> DaemonReport::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  DaemonReport report;
  report.daemon = map[QLatin1String("daemon")].toString().toStdString();
  report.instance_id = map[QLatin1String("life")].toString().toStdString();
  report.wall_ms = map[QLatin1String("wall_ms")].toInteger();
  report.store_era = DecodeEra(map[QLatin1String("store_era")]);
  report.is_draining = map[QLatin1String("leaves")].toBool();
  report.location.region =
      map[QLatin1String("region")].toString().toStdString();
  report.location.peer_endpoint =
      Endpoint::Parse(map[QLatin1String("peers")].toString().toStdString());
  report.location.availability_zone =
      map[QLatin1String("zone")].toString().toStdString();
  if (const auto uptime = map[QLatin1String("uptime_ms")]; uptime.isInteger()) {
    report.uptime = Duration(uptime.toInteger());
  }
  report.cores = map[QLatin1String("cores")].toDouble();
  if (const auto position = map[QLatin1String("directory")];
      position.isArray()) {
    report.directory = DecodeDirectoryPosition(position);
  }
  report.usage = DecodeUsage(map[QLatin1String("usage")]);
  report.quotas = DecodeQuotaUses(map[QLatin1String("quotas")]);
  report.shortage =
      details::DecodeShortageReport(map[QLatin1String("shortage")]);
  for (const auto& entry : map[QLatin1String("loads")].toMap()) {
    const auto load = entry.second.toMap();
    report.loads[entry.first.toString().toStdString()] = {
        load[QLatin1String("in_flight")].toDouble(),
        load[QLatin1String("tokens")].toDouble()};
  }
  BOOST_LEAF_ASSIGN(report.upstream_limits,
                    DecodeLimitReports(map[QLatin1String("upstream_limits")]));
  BOOST_LEAF_ASSIGN(report.quarantine,
                    DecodeQuarantineReport(map[QLatin1String("quarantine")]));
  report.rollouts = DecodeRolloutReports(map[QLatin1String("rollouts")]);
  report.stream_ends =
      details::DecodeStreamEndReports(map[QLatin1String("stream_ends")]);
  if (report.daemon.empty() || report.instance_id.empty()) {
    return Fail(ResultCode::kBadMessage,
                "The daemon report lacks the daemon's name or instance id");
  }
  return report;
}

QByteArray HandOverNotice::Encode() const {
  QCborMap ended;
  for (const auto& [instance, windows] : ended_usage) {
    ended[Text(instance)] = EncodeUsage(windows);
  }
  return QCborValue(QCborMap{{"fencing", static_cast<qint64>(fencing)},
                             {"reporting", static_cast<qint64>(reporting)},
                             {"ended", ended}})
      .toCbor();
}

Result<HandOverNotice> HandOverNotice::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  HandOverNotice notice;
  notice.fencing = map[QLatin1String("fencing")].toInteger();
  const auto reporting = map[QLatin1String("reporting")].toInteger(-1);
  if (notice.fencing <= 0 || reporting < 0) {
    return Fail(ResultCode::kBadMessage,
                "The notice of a hand-over lacks the number or the daemons");
  }
  notice.reporting = static_cast<std::size_t>(reporting);
  for (const auto& entry : map[QLatin1String("ended")].toMap()) {
    notice.ended_usage[entry.first.toString().toStdString()] =
        DecodeUsage(entry.second);
  }
  return notice;
}

QByteArray CoordinatorHandoverState::Encode() const {
  return QCborValue(QCborMap{{"daemons", static_cast<qint64>(daemons)},
                             {"used", EncodeTokens(used_tokens)},
                             {"held", EncodeTokens(outstanding_tokens)}})
      .toCbor();
}

Result<CoordinatorHandoverState> CoordinatorHandoverState::Decode(
    const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  const auto daemons = map[QLatin1String("daemons")].toInteger(-1);
  if (daemons < 0) {
    return Fail(ResultCode::kBadMessage,
                "The coordinator's handover state lacks the daemon count");
  }
  CoordinatorHandoverState handover_state;
  handover_state.daemons = static_cast<std::size_t>(daemons);
  handover_state.used_tokens = DecodeTokens(map[QLatin1String("used")]);
  handover_state.outstanding_tokens = DecodeTokens(map[QLatin1String("held")]);
  return handover_state;
}

QByteArray CoordinatorReply::Encode() const {
  QCborMap map{{"true_ms", static_cast<qint64>(true_ms)},
               {"store_era", EncodeEra(store_era)},
               {"divides", limits_ready},
               {"version", static_cast<qint64>(config_version)},
               {"age_ms", static_cast<qint64>(config_age_ms)},
               {"lease", static_cast<qint64>(lease_fencing_token)},
               {"lease_ms", static_cast<qint64>(lease_clock_ms)},
               {"sources", EncodeEndpoints(sources)},
               {"directory", EncodeDirectoryUpdate(directory)},
               {"grants", EncodeQuotaGrants(limits.quota_grants)},
               {"upstream_limits", EncodeLimitReply(upstream_limits)},
               {"quarantine", EncodeQuarantineReply(quarantine)},
               {"shortage", details::EncodeShortageReply(shortage)},
               {"moved_to", Text(moved_to)},
               {"moved_fencing", static_cast<qint64>(moved_fencing)},
               {"daemons", static_cast<qint64>(limits.daemons)}};
  if (!rollouts.empty()) {
    map[QLatin1String("rollouts")] = EncodeRolloutReplies(rollouts);
  }
  if (!stream_ends.empty()) {
    map[QLatin1String("stream_ends")] =
        details::EncodeStreamEndReplies(stream_ends);
  }
  return QCborValue(map).toCbor();
}

Result<CoordinatorReply> CoordinatorReply::Decode(const QByteArray& bytes) {
  BOOST_LEAF_AUTO(decoded, DecodePeerMessage(bytes));
  const QCborMap& map = decoded;
  CoordinatorReply reply;
  reply.true_ms = map[QLatin1String("true_ms")].toInteger();
  reply.store_era = DecodeEra(map[QLatin1String("store_era")]);
  reply.limits_ready = map[QLatin1String("divides")].toBool();
  reply.config_version = map[QLatin1String("version")].toInteger(-1);
  reply.config_age_ms = map[QLatin1String("age_ms")].toInteger(-1);
  reply.lease_fencing_token = map[QLatin1String("lease")].toInteger();
  reply.lease_clock_ms = map[QLatin1String("lease_ms")].toInteger();
  reply.moved_to = map[QLatin1String("moved_to")].toString().toStdString();
  reply.moved_fencing = map[QLatin1String("moved_fencing")].toInteger();
  reply.sources = DecodeEndpoints(map[QLatin1String("sources")]);
  reply.directory = DecodeDirectoryUpdate(map[QLatin1String("directory")]);
  reply.shortage = details::DecodeShortageReply(map[QLatin1String("shortage")]);
  reply.limits.quota_grants = DecodeQuotaGrants(map[QLatin1String("grants")]);
  reply.limits.daemons =
      static_cast<std::size_t>(map[QLatin1String("daemons")].toInteger(1));
  BOOST_LEAF_ASSIGN(reply.upstream_limits,
                    DecodeLimitReply(map[QLatin1String("upstream_limits")]));
  BOOST_LEAF_ASSIGN(reply.quarantine,
                    DecodeQuarantineReply(map[QLatin1String("quarantine")]));
  reply.rollouts = DecodeRolloutReplies(map[QLatin1String("rollouts")]);
  reply.stream_ends =
      details::DecodeStreamEndReplies(map[QLatin1String("stream_ends")]);
  if (reply.true_ms <= 0) {
    return Fail(ResultCode::kBadMessage,
                "The coordinator's reply lacks the time");
  }
  return reply;
}

}  // namespace firmoor
