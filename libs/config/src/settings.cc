#include "config/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <limits>
#include <optional>

#include "config/table_reader.h"

namespace firmoor {
namespace {

void ReadListen(TableReader* reader, Settings* out) {
  reader->Address("callers", &out->callers, true);
  reader->Address("observe", &out->observe, true);
  reader->Address("operators", &out->operators, true);
  reader->Address("peers", &out->peers, true);
  out->peers_advertised = out->peers;
  reader->Address("peers_advertised", &out->peers_advertised, false);
}

void ReadPlatform(TableReader* reader, Settings* out) {
  reader->Address("object_api", &out->object_api, true);
  reader->Address("vm_list", &out->vm_list, true);
  reader->Address("cloud_api", &out->cloud_api, false);
  reader->Addresses("seeds", &out->seeds);
}

void ReadSecurity(TableReader* reader, Settings* out) {
  reader->Text("operator_token_sha256", &out->operator_token_sha256, false);
  reader->Text("peer_token", &out->peer_token, false);
  reader->Flag("allow_anonymous", &out->allow_anonymous);
}

void ReadTimes(TableReader* reader, Settings* out) {
  reader->Milliseconds("drain_ms", &out->drain_time, 0);
  reader->Milliseconds("balancer_wait_ms", &out->balancer_wait, 0);
  reader->Milliseconds("claim_wait_ms", &out->claim_wait, 1);
  reader->Milliseconds("vm_list_period_ms", &out->vm_list_period, 10);
  reader->Milliseconds("probe_period_ms", &out->probe_period, 10);
  reader->Milliseconds("load_period_ms", &out->load_period, 10);
}

void ReadLimits(TableReader* reader, Settings* out) {
  reader->Number("claim_slots", &out->claim_slots, 1, 4'096);
  reader->Number("upstreams_per_service", &out->upstreams_per_service, 1,
                 4'096);
  reader->Number("region_link_bytes_per_s", &out->region_link_bytes_per_s, 0,
                 std::numeric_limits<std::int32_t>::max());
}

void ReadServing(TableReader* reader, Settings* out) {
  reader->Choice(
      "routing_strategy", &out->routing_strategy,
      {"expected-time", "round-robin", "least-in-flight", "prefix-affinity"});
  reader->Text("trace_file", &out->trace_file, false);
  reader->Choice("log_level", &out->log_level,
                 {"debug", "info", "warn", "error"});
}

struct Section {
  const char* name;
  void (*read)(TableReader*, Settings*);
};

constexpr Section kSections[] = {
    {"listen", ReadListen},     {"platform", ReadPlatform},
    {"security", ReadSecurity}, {"times", ReadTimes},
    {"limits", ReadLimits},     {"serving", ReadServing},
};

std::optional<Error> CheckOperatorToken(const Settings& settings,
                                        std::string_view file_name) {
  const bool has_no_token = settings.operator_token_sha256.empty();
  if (has_no_token && !settings.allow_anonymous) {
    return Error{ResultCode::kInvalidSettings,
                 fmt::format("{}: security.operator_token_sha256 is missing; "
                             "write allow_anonymous = true to run without",
                             file_name)};
  }
  return std::nullopt;
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text,
                               std::string_view file_name) {
  BOOST_LEAF_AUTO(root, ParseToml(text, file_name));
  Settings settings;
  std::optional<Error> problem;
  TableReader top(&root, "", file_name, &problem);
  top.Text("daemon", &settings.daemon, true);
  top.Text("availability_zone", &settings.availability_zone, true);
  top.Text("region", &settings.region, true);
  for (const auto& section : kSections) {
    top.MarkKnown(section.name);
    TableReader reader(root[section.name].as_table(),
                       std::string(section.name) + ".", file_name, &problem);
    section.read(&reader, &settings);
    reader.RejectUnknownKeys();
  }
  top.RejectUnknownKeys();
  if (!problem) problem = CheckOperatorToken(settings, file_name);
  if (problem) return boost::leaf::new_error(*problem);
  return settings;
}

Result<Settings> LoadSettings(const std::string& file_name) {
  BOOST_LEAF_AUTO(text, ReadTextFile(file_name));
  return ParseSettings(text, file_name);
}

}  // namespace firmoor
