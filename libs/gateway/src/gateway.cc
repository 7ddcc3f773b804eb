#include "gateway/gateway.h"

#include <QTimer>
#include <utility>
#include <variant>

#include "base/text.h"
#include "details/exchange.h"
#include "details/gateway_context.h"
#include "gateway/refusal.h"

namespace firmoor {
namespace {

using details::Exchange;
using details::GatewayContext;

// Engines that are about to end may be in another region, and busy.
constexpr Duration kStayPatience{600};
// Engines show their state as it was some 200 ms ago.
constexpr Duration kReportLag{350};
// The first configuration is read within some 100 ms of a start; requests that
// arrive before it wait no longer than this.
constexpr Duration kFirstConfiguration{300};
// New connections go to other daemons, so callers need not wait.
constexpr Duration kRetryAtAnother{20};

}  // namespace

struct Gateway::Impl {
  struct EarlyRequest {
    HttpRequest request;
    std::shared_ptr<HttpResponder> responder;
    TimePoint arrived_at;
  };

  GatewayContext context;
  std::vector<EarlyRequest> early;  ///< Before the first configuration.
  bool takes_early = true;
  bool shared_assumed = false;
  std::map<std::string, double> used_before;  ///< Tokens, by workspace.

  Impl(GatewaySettings settings, Environment environment)
      : context(std::move(settings), environment) {}

  void TakeEarly(HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder);
  void HandleEarly();
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpResponder>& responder,
              TimePoint arrived_at);
  void ApplyUsedBefore();
  void LogRefused(const std::string& id, const Failure& failure) const;
  void AskHowLongItStays(const UpstreamEntry& entry);
  void SendStayQuery(const UpstreamEntry& entry);
  void Evacuate(const UpstreamEntry& entry, Duration stay);
  void LogUpstream(const UpstreamEntry& entry, std::string_view change) const;
};

void Gateway::Impl::LogRefused(const std::string& id,
                               const Failure& failure) const {
  const auto age = context.freshness.Age(MonotonicNow());
  context.environment.log->Write(
      "refused",
      {{"request", Text(id)},
       {"code", Text(InfoOf(failure.error.code).name)},
       {"message", Text(failure.error.message)},
       {"config",
        context.table ? static_cast<qint64>(context.table->version()) : -1},
       {"config_age_ms", age ? static_cast<qint64>(age->count()) : -1}});
}

void Gateway::Impl::ApplyUsedBefore() {
  if (!shared_assumed || context.shared_at || !context.table) return;
  const auto now = MonotonicNow();
  for (const auto& workspace : context.table->content().workspaces) {
    if (workspace.rate_per_s <= 0) continue;
    const auto found = used_before.find(workspace.name);
    const double tokens = found == used_before.end() ? 0 : found->second;
    context.QuotaOf(workspace, now).SetPriorUsage(tokens, now);
  }
}

void Gateway::Impl::AskHowLongItStays(const UpstreamEntry& entry) {
  const auto* service =
      context.table ? context.table->FindService(entry.service) : nullptr;
  const bool moves = context.settings.strategies.move_runs &&
                     service != nullptr && service->engine &&
                     service->engine->can_move_requests;
  if (!moves || context.picker.InFlight(entry.id) == 0) return;
  QTimer::singleShot(kReportLag, &context.janitor,
                     [this, entry] { SendStayQuery(entry); });
}

void Gateway::Impl::SendStayQuery(const UpstreamEntry& entry) {
  context.AskReport(entry, kStayPatience, [this, entry](const auto& report) {
    if (report.time_to_shutdown)
      Evacuate(entry, *report.time_to_shutdown - kReportLag);
  });
}

void Gateway::Impl::Evacuate(const UpstreamEntry& entry, Duration stay) {
  context.environment.log->Write(
      "evacuation",
      {{"upstream", Text(entry.id)},
       {"stays_ms", static_cast<qint64>(stay.count())},
       {"requests", static_cast<qint64>(context.picker.InFlight(entry.id))}});
  const auto* service =
      context.table ? context.table->FindService(entry.service) : nullptr;
  if (service == nullptr || !service->engine) return;
  const auto ends_at = MonotonicNow() + stay;
  for (const auto& [key, exchange] : context.exchanges) {
    exchange->OnUpstreamEnding(entry.id, ends_at,
                               service->engine->tokens_per_event);
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
  const auto held = context.table ? context.table->version() : -1;
  if (context.table && table->version() <= held) return;
  context.picker.SetServices(table->content().services);
  context.environment.log->Write(
      "configuration",
      {{"version", static_cast<qint64>(table->version())},
       {"before", static_cast<qint64>(held)},
       {"routes", static_cast<qint64>(table->content().routes.size())},
       {"workspaces",
        static_cast<qint64>(table->content().workspaces.size())}});
  context.table = std::move(table);
  // Known to the coordinator before the first request needs its quota.
  for (const auto& workspace : context.table->content().workspaces) {
    if (workspace.rate_per_s > 0) context.QuotaOf(workspace, MonotonicNow());
  }
  impl_->ApplyUsedBefore();
  // Queued: the caller confirms the configuration first.
  QMetaObject::invokeMethod(
      &context.janitor, [impl = impl_.get()] { impl->HandleEarly(); },
      Qt::QueuedConnection);
}

void Gateway::ConfirmRoutes(TimePoint asked_at) {
  impl_->context.freshness.Confirm(asked_at);
}

bool Gateway::ConfirmRoutesFromPeer(std::int64_t version, Duration age,
                                    TimePoint asked_at) {
  const auto& context = impl_->context;
  // A newer one than the newest at that time was proved as well.
  if (!context.table || context.table->version() < version) return false;
  // The proof was that old later than this daemon asked, so it is no older.
  ConfirmRoutes(asked_at - age);
  return true;
}

const RouteTable* Gateway::routes() const { return impl_->context.table.get(); }

const ConfigFreshness& Gateway::freshness() const {
  return impl_->context.freshness;
}

void Gateway::ApplyUpstreams(const std::vector<UpstreamEntry>& entries) {
  auto& context = impl_->context;
  for (const auto& entry : entries) {
    const auto* held = context.catalog.Find(entry.id);
    if (held == nullptr || *held != entry) impl_->LogUpstream(entry, "listed");
  }
  context.catalog.ApplyAll(entries, MonotonicNow());
  context.SyncPicker(MonotonicNow());
}

void Gateway::ApplyUpstream(const UpstreamEntry& entry) {
  // What comes through other daemons may be told twice.
  const auto* held = impl_->context.catalog.Find(entry.id);
  const bool is_news = held == nullptr || *held != entry;
  impl_->context.catalog.Apply(entry);
  if (!is_news) return;
  impl_->LogUpstream(entry, entry.leaving ? "leaving" : "changed");
  impl_->context.SyncPicker(MonotonicNow());
  if (entry.leaving) impl_->AskHowLongItStays(entry);
}

void Gateway::RemoveUpstream(const std::string& id) {
  auto& context = impl_->context;
  const auto* held = context.catalog.Find(id);
  if (held == nullptr) return;
  impl_->LogUpstream(*held, "removed");
  // Some leave without saying so; their entry goes while they still serve.
  if (!held->leaving) impl_->AskHowLongItStays(*held);
  context.catalog.Remove(id, MonotonicNow());
  context.SyncPicker(MonotonicNow());
}

void Gateway::RecordStoreOutage() {
  impl_->context.catalog.OnStoreOutage(MonotonicNow());
}

const UpstreamCatalog& Gateway::upstreams() const {
  return impl_->context.catalog;
}

void Gateway::SetSharedLimits(const SharedLimits& limits) {
  impl_->context.SetShared(limits);
}

void Gateway::SeedSharedLimits(std::size_t daemons,
                               const std::map<std::string, double>& used) {
  auto& context = impl_->context;
  context.shared_expected_until.reset();
  if (context.shared_at || daemons == 0) return context.WakeQuotaWaiters();
  context.SetDaemons(daemons);
  impl_->used_before = used;
  impl_->shared_assumed = true;
  impl_->ApplyUsedBefore();
  context.WakeQuotaWaiters();
}

void Gateway::AwaitSharedLimits(TimePoint until) {
  auto& context = impl_->context;
  if (!context.shared_at) context.shared_expected_until = until;
}

std::size_t Gateway::SharingDaemonCount() const {
  return impl_->context.shared.daemons;
}

void Gateway::ApplySettings(const GatewaySettings& settings) {
  impl_->context.ApplySettings(settings);
}

void Gateway::Handle(HttpRequest request,
                     const std::shared_ptr<HttpResponder>& responder) {
  const bool waits = impl_->takes_early && !impl_->context.table;
  if (waits) return impl_->TakeEarly(std::move(request), responder);
  impl_->Handle(std::move(request), responder, MonotonicNow());
}

void Gateway::Impl::TakeEarly(HttpRequest request,
                              const std::shared_ptr<HttpResponder>& responder) {
  if (early.empty()) {
    QTimer::singleShot(kFirstConfiguration, &context.janitor, [this] {
      takes_early = false;
      HandleEarly();
    });
  }
  early.push_back({std::move(request), responder, MonotonicNow()});
}

void Gateway::Impl::HandleEarly() {
  for (auto& held : std::exchange(early, {})) {
    if (!held.responder->IsOpen()) continue;
    Handle(std::move(held.request), held.responder, held.arrived_at);
  }
}

void Gateway::Impl::Handle(HttpRequest request,
                           const std::shared_ptr<HttpResponder>& responder,
                           TimePoint arrived_at) {
  auto read = context.environment.dialect->DecodeRequest(std::move(request));
  if (const auto* error = std::get_if<Error>(&read)) {
    const Failure failure{*error, RequestOutcome::kNotRun, std::nullopt};
    LogRefused("", failure);
    return responder->Send(MakeGatewayRefusal(failure, ""));
  }
  auto& forward = std::get<ForwardRequest>(read);
  if (forward.caller_timeout) {
    *forward.caller_timeout -= MonotonicNow() - arrived_at;
  }
  const auto decided = AdmitRequest(forward, context.table.get(),
                                    context.freshness, MonotonicNow());
  if (const auto* failure = std::get_if<Failure>(&decided)) {
    LogRefused(forward.id, *failure);
    return responder->Send(MakeGatewayRefusal(*failure, forward.id));
  }
  const auto& pass = std::get<RequestAdmission>(decided);
  if (context.drain &&
      !AcceptsWhileDraining(*pass.route, *context.drain, MonotonicNow())) {
    const Failure failure{
        {ResultCode::kDraining, ""}, RequestOutcome::kNotRun, kRetryAtAnother};
    LogRefused(forward.id, failure);
    return responder->Send(MakeGatewayRefusal(failure, forward.id));
  }
  const auto exchange =
      std::make_shared<Exchange>(&context, std::move(forward), pass, responder);
  context.exchanges.emplace(exchange.get(), exchange);
  exchange->Start();
}

void Gateway::StartDrain(TimePoint ends_at) {
  impl_->context.drain = DrainState{MonotonicNow(), ends_at};
}

bool Gateway::IsDraining() const { return impl_->context.drain.has_value(); }

std::size_t Gateway::ActiveRequestCount() const {
  return impl_->context.exchanges.size();
}

UsageLedger& Gateway::ledger() { return impl_->context.ledger; }

std::map<std::string, QuotaUsage> Gateway::ReportQuotas() {
  std::map<std::string, QuotaUsage> uses;
  const auto now = MonotonicNow();
  for (auto& [workspace, quota] : impl_->context.quotas) {
    if (!quota.IsIdle(now)) uses[workspace] = quota.Report(now);
  }
  return uses;
}

QuotaLimit Gateway::QuotaOf(const std::string& workspace) const {
  const auto& context = impl_->context;
  if (!context.table) return {};
  for (const auto& profile : context.table->content().workspaces) {
    if (profile.name == workspace) return context.LimitOf(profile);
  }
  return {};
}

void Gateway::OnQuotaShort(std::function<void()> handler) {
  impl_->context.on_quota_short = std::move(handler);
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
