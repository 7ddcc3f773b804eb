#include "gateway/gateway.h"

#include <fmt/format.h>

#include <QTimer>
#include <algorithm>
#include <utility>
#include <variant>

#include "base/text.h"
#include "details/delegation_server.h"
#include "details/exchange.h"
#include "details/gateway_impl.h"
#include "details/urgency.h"
#include "gateway/refusal.h"

namespace firmoor {
namespace {

using details::GatewayContext;

}  // namespace

void Gateway::Impl::SyncCatalog() {
  const auto now = MonotonicNow();
  context.SyncPicker(now);
  context.links.OnCatalog();
  if (context.rollouts.IsActive()) {
    context.rollouts.SetUpstreams(context.catalog.all(), now);
  }
  context.stream_versions.OnCatalog(context.catalog, now);
}

void Gateway::Impl::OnUpstreamReplaced(const std::string& id) {
  // Requests may end.
  const auto exchanges = context.exchanges;
  for (const auto& [key, exchange] : exchanges) {
    exchange->OnUpstreamReplaced(id);
  }
}

void Gateway::Impl::ExtendMaxStreamTime() {
  for (const auto& route : context.table->content().routes) {
    if (route.is_resumable) {
      context.stream_versions.ExtendMaxStreamTime(route.timeout);
    }
  }
}

void Gateway::Impl::ApplySeededUsage() {
  if (!limits_seeded || context.shared_limits_received_at || !context.table) {
    return;
  }
  const auto now = MonotonicNow();
  for (const auto& workspace : context.table->content().workspaces) {
    if (workspace.rate_per_s <= 0) continue;
    const auto found = seeded_usage.find(workspace.name);
    const double tokens = found == seeded_usage.end() ? 0 : found->second;
    context.AllowanceOf(workspace, now).SetPriorUsage(tokens, now);
  }
}

void Gateway::Impl::LogUpstream(const UpstreamEntry& entry,
                                std::string_view change) const {
  context.environment.log->Write(
      "upstream", {{"upstream", Text(entry.id)},
                   {"service", Text(entry.service)},
                   {"zone", Text(entry.availability_zone)},
                   {"address", Text(entry.endpoint.ToString())},
                   {"born_ms", static_cast<qint64>(entry.born_ms)},
                   {"change", Text(change)}});
}

Gateway::Gateway(GatewaySettings settings, Environment environment)
    : impl_(std::make_unique<Impl>(std::move(settings), environment)) {}

Gateway::~Gateway() = default;

void Gateway::SetRoutes(std::shared_ptr<const RouteTable> table) {
  auto& context = impl_->context;
  const auto current_version = context.table ? context.table->version() : -1;
  if (context.table && table->version() <= current_version) return;
  context.picker.SetServices(table->content().services);
  context.environment.log->Write(
      "configuration",
      {{"version", static_cast<qint64>(table->version())},
       {"before", static_cast<qint64>(current_version)},
       {"routes", static_cast<qint64>(table->content().routes.size())},
       {"workspaces",
        static_cast<qint64>(table->content().workspaces.size())}});
  context.shortage.SetKinds(details::KindsOf(table->content()));
  context.shortage.SetWeights(details::WeightsOf(table->content()));
  context.table = std::move(table);
  // Reports the quotas to the coordinator before the first request needs one.
  for (const auto& workspace : context.table->content().workspaces) {
    if (workspace.rate_per_s > 0) {
      context.AllowanceOf(workspace, MonotonicNow());
    }
  }
  impl_->ApplySeededUsage();
  impl_->ExtendMaxStreamTime();
  // Queued, so that the caller can confirm the configuration first.
  QMetaObject::invokeMethod(
      &context.event_context,
      [impl = impl_.get()] { impl->HandleEarlyRequests(); },
      Qt::QueuedConnection);
}

void Gateway::ConfirmRoutes(TimePoint asked_at) {
  const auto* table = routes();
  impl_->context.freshness.ConfirmVersion(table ? table->version() : -1,
                                          asked_at);
}

bool Gateway::ConfirmRoutesFromPeer(std::int64_t version, Duration age,
                                    TimePoint asked_at) {
  auto& context = impl_->context;
  context.freshness.OnVersionTold(version, MonotonicNow());
  // A version newer than `version` is confirmed as well.
  if (!context.table || context.table->version() < version) return false;
  // `age` was measured after `asked_at`, so the confirmation is no older than
  // this.
  ConfirmRoutes(asked_at - age);
  return true;
}

const RouteTable* Gateway::routes() const { return impl_->context.table.get(); }

const ConfigFreshness& Gateway::freshness() const {
  return impl_->context.freshness;
}

void Gateway::ApplyUpstreams(const std::vector<UpstreamEntry>& entries) {
  auto& context = impl_->context;
  const auto now = MonotonicNow();
  std::vector<std::string> replaced;
  for (const auto& entry : entries) {
    const auto* known = context.catalog.Find(entry.id);
    const bool is_outdated = context.catalog.IsOutdated(entry, now);
    if (known == nullptr || *known != entry) {
      impl_->LogUpstream(entry, is_outdated ? "outdated" : "listed");
    }
    if (known != nullptr && known->born_ms != entry.born_ms && !is_outdated) {
      replaced.push_back(entry.id);
    }
  }
  context.catalog.ApplyAll(entries, now);
  impl_->SyncCatalog();
  for (const auto& id : replaced) impl_->OnUpstreamReplaced(id);
}

void Gateway::ApplyUpstream(const UpstreamEntry& entry) {
  // Changes that arrive through other daemons may be repeated.
  const auto* known = impl_->context.catalog.Find(entry.id);
  const bool has_changed = known == nullptr || *known != entry;
  const bool is_replaced = known != nullptr && known->born_ms != entry.born_ms;
  impl_->context.catalog.Apply(entry);
  if (!has_changed) return;
  impl_->LogUpstream(entry, entry.leaving ? "leaving" : "changed");
  impl_->SyncCatalog();
  if (is_replaced) impl_->OnUpstreamReplaced(entry.id);
  if (entry.leaving) impl_->ScheduleShutdownQuery(entry);
}

void Gateway::RemoveUpstream(const std::string& id) {
  auto& context = impl_->context;
  const auto* known = context.catalog.Find(id);
  if (known == nullptr) return;
  impl_->LogUpstream(*known, "removed");
  // Some upstreams remove their entry without marking it as leaving first, and
  // still serve requests.
  if (!known->leaving) impl_->ScheduleShutdownQuery(*known);
  context.catalog.Remove(id, MonotonicNow());
  impl_->SyncCatalog();
}

void Gateway::ConfirmUpstreams() {
  impl_->context.stream_versions.OnCatalogConfirmed(MonotonicNow());
}

void Gateway::RecordStoreOutage() {
  impl_->context.catalog.OnStoreOutage(MonotonicNow());
  impl_->context.stream_versions.OnCatalogOutage();
}

void Gateway::RecordStoreReturn() {
  impl_->context.freshness.OnStoreReturn();
  impl_->context.catalog.OnStoreReturn(MonotonicNow());
  impl_->context.stream_versions.OnCatalogOutage();
}

const UpstreamCatalog& Gateway::upstreams() const {
  return impl_->context.catalog;
}

std::size_t Gateway::RateLimitedUpstreamCount() const {
  return impl_->context.permits.LimitCount();
}

UpstreamLimitReports Gateway::ReportUpstreamLimits() {
  return impl_->context.permits.Report(MonotonicNow());
}

void Gateway::ApplyUpstreamLimits(const UpstreamLimitReply& reply,
                                  TimePoint sent_at) {
  impl_->context.ApplyUpstreamLimits(reply, sent_at);
}

std::string Gateway::UpstreamLimitMetrics() const {
  const auto& counters = impl_->context.limit_counters;
  const auto& slots = impl_->context.slot_counters;
  return fmt::format(
      "firmoor_rate_limited_upstreams {}\n"
      "firmoor_rate_limit_permitted_total {}\n"
      "firmoor_rate_limit_steered_total {}\n"
      "firmoor_rate_limit_rejected_total {}\n"
      "firmoor_brittle_services {}\n"
      "firmoor_brittle_waited_total {}\n"
      "firmoor_brittle_refused_total {}\n"
      "firmoor_brittle_rejected_total {}\n",
      impl_->context.permits.LimitCount(), counters.permitted, counters.steered,
      counters.rejected, impl_->context.permits.slots().BrittleServiceCount(),
      slots.waited, slots.refused, slots.rejected);
}

QuarantineReport Gateway::ReportQuarantine() {
  return impl_->context.quarantine.Report();
}

void Gateway::ApplyQuarantine(const QuarantineReply& reply) {
  impl_->context.quarantine.Apply(reply);
}

ShortageReport Gateway::ReportShortage() {
  return impl_->context.shortage.Report(MonotonicNow());
}

void Gateway::ApplyShortage(const ShortageReply& reply) {
  impl_->context.shortage.OnReply(reply, MonotonicNow());
}

StreamEndReports Gateway::ReportStreamEnds() const {
  return impl_->context.close_delimited_streams->Report(MonotonicNow());
}

void Gateway::ApplyStreamEnds(const StreamEndReplies& replies) {
  auto& context = impl_->context;
  const auto now = MonotonicNow();
  const auto changed = context.close_delimited_streams->Apply(replies, now);
  for (const auto& writer : changed) {
    context.LogStreamEndBelief(writer, "coordinator", now);
  }
  if (!changed.empty()) context.ResumeEndWaiters();
}

std::string Gateway::ShortageMetrics() const {
  return details::ShortageMetrics(impl_->context.shortage, MonotonicNow());
}

const std::vector<Verdict>& Gateway::Verdicts() const {
  return impl_->context.quarantine.verdicts();
}

bool Gateway::LiftVerdict(const std::string& hash) {
  return impl_->context.quarantine.Lift(hash);
}

std::string Gateway::QuarantineMetrics() const {
  return impl_->context.quarantine.MetricsText();
}

void Gateway::SetPeerCall(PeerCall call) {
  impl_->context.stream_versions.SetPeerCall(std::move(call));
}

std::optional<QByteArray> Gateway::ServePeer(std::string_view kind,
                                             const QByteArray& message) {
  return impl_->context.stream_versions.Serve(kind, message);
}

DirectoryPosition Gateway::DaemonDirectoryPosition() const {
  return impl_->context.stream_versions.directory_position();
}

void Gateway::ApplyDaemonDirectory(const DirectoryUpdate& update) {
  impl_->context.stream_versions.ApplyDirectory(update);
}

std::string Gateway::StreamMetrics() const {
  const auto& context = impl_->context;
  std::map<std::pair<std::string, std::string>, int> streams;
  for (const auto& [key, exchange] : context.exchanges) {
    if (exchange->version()) {
      ++streams[{exchange->service(), *exchange->version()}];
    }
  }
  auto text = context.stream_versions.Metrics();
  for (const auto& [of, count] : streams) {
    text += fmt::format(
        "firmoor_streams_bound{{service=\"{}\",version=\"{}\"}} {}\n", of.first,
        of.second, count);
  }
  const auto& beside = context.beside_counters;
  for (const auto& [end, count] : {std::pair("started", beside.started),
                                   std::pair("took-over", beside.took_over),
                                   std::pair("overtaken", beside.overtaken),
                                   std::pair("dropped", beside.dropped)}) {
    text += fmt::format("firmoor_attempts_beside_total{{end=\"{}\"}} {}\n", end,
                        count);
  }
  text += fmt::format(
      "firmoor_answers_held_bytes {}\nfirmoor_answers_gave_way_total {}\n",
      context.answer_budget->shared_bytes_in_use(),
      context.answer_budget->gave_way());
  return text + context.stream_ends.Metrics() + context.time_ratios.Metrics() +
         context.caller_flows.Metrics();
}

void Gateway::SetSharedLimits(const SharedLimits& limits,
                              std::optional<ReportNumber> report) {
  impl_->context.SetSharedLimits(limits, report);
}

void Gateway::SeedSharedLimits(std::size_t daemons,
                               const std::map<std::string, double>& used) {
  auto& context = impl_->context;
  context.shared_limits_expected_until.reset();
  if (context.shared_limits_received_at || daemons == 0) {
    return context.grant_waiters.ResumeAll();
  }
  context.SetDaemonCount(daemons);
  impl_->seeded_usage = used;
  impl_->limits_seeded = true;
  impl_->ApplySeededUsage();
  context.grant_waiters.ResumeAll();
}

void Gateway::AwaitSharedLimits(TimePoint until) {
  auto& context = impl_->context;
  if (!context.shared_limits_received_at) {
    context.shared_limits_expected_until = until;
  }
}

std::size_t Gateway::SharingDaemonCount() const {
  return impl_->context.shared.daemons;
}

void Gateway::ApplySettings(const GatewaySettings& settings) {
  impl_->context.ApplySettings(settings);
}

void Gateway::SetPeerStreamCall(PeerStreamCall call) {
  impl_->context.delegations.SetStreamCall(std::move(call));
}

void Gateway::ServePeerStream(
    std::string_view kind, const QByteArray& message,
    const std::shared_ptr<PeerStreamResponder>& responder) {
  details::ServeDelegation(&impl_->context, kind, message, responder);
}

std::string Gateway::LinkMetrics() const {
  return impl_->context.links.Metrics() + impl_->context.delegations.Metrics();
}

void Gateway::StartDrain(TimePoint ends_at) {
  impl_->context.drain = DrainState{MonotonicNow(), ends_at};
  impl_->context.stream_versions.StartHandOver();
}

bool Gateway::IsDraining() const { return impl_->context.drain.has_value(); }

void Gateway::EndRequests() {
  impl_->queues_early_requests = false;
  impl_->HandleEarlyRequests();
  const auto exchanges = impl_->context.exchanges;
  for (const auto& [key, exchange] : exchanges) exchange->OnStop();
}

std::size_t Gateway::ActiveRequestCount() const {
  return impl_->context.exchanges.size();
}

UsageLedger& Gateway::ledger() { return impl_->context.ledger; }

std::map<std::string, QuotaUsage> Gateway::ReportQuotas(
    QuotaReportScope scope) {
  return impl_->context.ReportQuotas(scope);
}

ReportNumber Gateway::LastReport() const {
  return impl_->context.grant_waiters.last_report();
}

QuotaLimit Gateway::QuotaOf(const std::string& workspace) const {
  const auto& context = impl_->context;
  if (!context.table) return {};
  for (const auto& profile : context.table->content().workspaces) {
    if (profile.name == workspace) return context.QuotaLimitOf(profile);
  }
  return {};
}

void Gateway::OnGrantNeeded(std::function<void()> handler) {
  impl_->context.on_grant_needed = std::move(handler);
}

std::map<std::string, ServiceLoad> Gateway::Loads() const {
  const auto& context = impl_->context;
  std::map<std::string, ServiceLoad> loads;
  if (!context.table) return loads;
  const auto rates = context.prompt_demand.Rates(MonotonicNow());
  for (const auto& service : context.table->content().services) {
    auto& load = loads[service.name];
    load.in_flight =
        static_cast<double>(context.picker.ServiceInFlight(service.name));
    const auto rate = rates.find(service.name);
    if (rate != rates.end()) load.tokens_per_s = rate->second;
  }
  return loads;
}

}  // namespace firmoor
