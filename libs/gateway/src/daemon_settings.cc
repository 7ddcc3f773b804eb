#include "gateway/daemon_settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <optional>

#include "config/table_reader.h"

namespace firmoor {
namespace {

constexpr double kMaxRetries = 1e6;
constexpr double kMaxTokens = 1e12;
constexpr double kMaxRequests = 1e9;
constexpr double kMinCores = 0.01;
constexpr double kMaxCores = 1'024;
constexpr double kMinMemoryMb = 16;
constexpr double kMaxMemoryMb = 1e7;

void ReadListen(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Address("callers", &out->callers, true);
  reader->Address("ready", &out->ready, true);
  reader->Address("peers", &out->peers, true);
  reader->Address("metrics", &out->metrics, true);
}

void ReadVm(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Decimal("cores", &out->cores, kMinCores, kMaxCores);
  reader->Decimal("memory_mb", &out->memory_mb, kMinMemoryMb, kMaxMemoryMb);
}

void ReadPlatform(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Address("object_api", &out->object_api, true);
  reader->Address("cloud_api", &out->cloud_api, false);
  reader->Flag("reports_usage", &out->reports_usage);
  reader->Flag("orders_upstreams", &out->orders_upstreams);
}

void ReadTimes(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Milliseconds("key_revocation_ms", &out->key_revocation, 500);
  reader->Milliseconds("drain_ms", &out->drain_time, 0);
  reader->Milliseconds("upstream_stay_ms", &out->upstream_drain_time, 100);
  reader->Milliseconds("lease_ms", &out->lease, 100);
  reader->Milliseconds("usage_window_ms", &out->usage_window, 100);
}

void ReadRetries(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Decimal("ratio", &out->retry_ratio, 0, 1);
  reader->Decimal("burst", &out->retry_burst, 0, kMaxRetries);
}

void ReadQuotas(TableReader* reader, GatewayDaemonSettings* out) {
  reader->Milliseconds("window_ms", &out->quota_window, 100);
  reader->Decimal("slack", &out->quota_slack, 0, kMaxTokens);
}

void ReadRollouts(TableReader* reader, GatewayDaemonSettings* out) {
  auto& rollouts = out->rollouts;
  reader->Decimal("expose_share", &rollouts.expose_share, 0, 1);
  reader->Decimal("expose_slack", &rollouts.expose_slack, 0, kMaxRequests);
  reader->Milliseconds("rollback_ms", &rollouts.rollback, 100);
}

void ReadStrategies(TableReader* reader, GatewayDaemonSettings* out) {
  auto& strategies = out->strategies;
  reader->Flag("prefix_homes", &strategies.prefix_homes);
  reader->Flag("ask_engines", &strategies.ask_engines);
  reader->Flag("refuse_by_wait", &strategies.refuse_by_wait);
  reader->Flag("urgency", &strategies.urgency);
  reader->Flag("ejection", &strategies.ejection);
  reader->Flag("move_runs", &strategies.move_runs);
  reader->Flag("engines_for_slots", &strategies.engines_for_slots);
  reader->Flag("reclaim_reserve", &strategies.reclaim_reserve);
  reader->Flag("rollouts", &strategies.rollouts);
  reader->Flag("learned_capacity", &strategies.learned_capacity);
  reader->Flag("learned_engines", &strategies.learned_engines);
}

struct Section {
  const char* name;
  void (*read)(TableReader*, GatewayDaemonSettings*);
};

constexpr Section kSections[] = {
    {"listen", ReadListen},     {"vm", ReadVm},
    {"platform", ReadPlatform}, {"times", ReadTimes},
    {"retries", ReadRetries},   {"quotas", ReadQuotas},
    {"rollouts", ReadRollouts}, {"strategies", ReadStrategies}};

void ReadRegions(const toml::table* table, GatewayDaemonSettings* out) {
  if (table == nullptr) return;
  for (const auto& [zone, region] : *table) {
    out->regions[std::string(zone.str())] =
        region.value_or(std::string(zone.str()));
  }
}

}  // namespace

Result<GatewayDaemonSettings> ParseGatewayDaemonSettings(
    std::string_view text, std::string_view file_name) {
  BOOST_LEAF_AUTO(root, ParseToml(text, file_name));
  GatewayDaemonSettings settings;
  std::optional<Error> error;
  TableReader top(&root, "", file_name, &error);
  top.Text("daemon", &settings.daemon, true);
  top.Text("availability_zone", &settings.availability_zone, true);
  top.MarkKnown("regions");
  ReadRegions(root["regions"].as_table(), &settings);
  settings.rollouts.enabled = root["rollouts"].is_table();
  for (const auto& section : kSections) {
    top.MarkKnown(section.name);
    TableReader reader(root[section.name].as_table(),
                       std::string(section.name) + ".", file_name, &error);
    section.read(&reader, &settings);
    reader.RejectUnknownKeys();
  }
  top.RejectUnknownKeys();
  if (error) return boost::leaf::new_error(*error);
  return settings;
}

Result<GatewayDaemonSettings> LoadGatewayDaemonSettings(
    const std::string& file_name) {
  BOOST_LEAF_AUTO(text, ReadTextFile(file_name));
  return ParseGatewayDaemonSettings(text, file_name);
}

}  // namespace firmoor
