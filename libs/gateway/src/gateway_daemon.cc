#include "gateway/gateway_daemon.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/exception_barrier.h"
#include "base/random_id.h"
#include "base/text.h"
#include "details/connection_metrics.h"
#include "details/daemon_metrics.h"
#include "details/drain_steps.h"
#include "details/gateway_daemon_impl.h"
#include "details/gateway_settings.h"
#include "details/listener_limits.h"
#include "details/rollout_hooks.h"

namespace firmoor {
namespace {

using details::GatewaySettingsOf;
using details::kConfirmationCheckInterval;
using details::RegionOf;

// Timeouts of long polls for changes. They may be long since keep-alive probes
// detect dead connections.
constexpr Duration kPollTimeout{10'000};
// Batches changes of upstreams. Short compared with the time for which a
// leaving upstream still accepts requests (2.5 s and more).
constexpr Duration kUpstreamBatchDelay{400};
// Interval at which the coordinator confirms with the store that its
// configuration is current; it passes the confirmation on in its replies. Other
// daemons query the store themselves when their confirmation is older than a
// fraction of the freshness bound, e.g. because the coordinator does not reply.
constexpr Duration kConfirmationPeriod{500};
constexpr double kStaleConfirmationFraction = 0.55;
// Limit of the exponential backoff between queries that the store does not
// answer, so that an unavailable store is not overloaded.
constexpr Duration kMaxConfirmationBackoff{1'200};
// For the last responses to reach the kernel.
constexpr Duration kLastResponseTime{50};
// Callers measure idle time from when they sent, and may still use an earlier
// configuration's limit.
constexpr Duration kIdleTimeoutMargin{2'000};

bool IsAvailable(const UpstreamCatalog& catalog, const std::string& id) {
  const auto* entry = catalog.Find(id);
  return entry != nullptr && !entry->leaving;
}

std::vector<std::string> AvailableIds(const UpstreamCatalog& catalog) {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : catalog.all()) {
    if (!entry.leaving) ids.push_back(id);
  }
  return ids;
}

}  // namespace

GatewayDaemon::Impl::Impl(GatewayDaemonSettings daemon_settings,
                          PlatformPorts platform_ports, EventLog* event_log,
                          std::function<void()> stopped)
    : settings(std::move(daemon_settings)),
      ports(std::move(platform_ports)),
      log(event_log),
      on_stopped(std::move(stopped)),
      instance_id(settings.daemon + "/" + NewRandomId()),
      loop_monitor(log),
      true_time(WallClockMs(), MonotonicNow()),
      gateway(GatewaySettingsOf(settings),
              {ports.dialect, log, &metrics, &true_time}),
      relay(BuildRelay()),
      upstream_staleness(
          KindRelay::MaxContactAge(details::MaxSourceStaleness(settings))),
      departure_ages("firmoor_upstream_departure_age_seconds",
                     {0.0, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 8.0}),
      configuration(relay.get(), ports.configuration_kind, kPollTimeout,
                    Duration(0), ConfigurationHooks()),
      upstreams(relay.get(), ports.upstream_kind, kPollTimeout,
                kUpstreamBatchDelay, UpstreamHooks()),
      coordinator(
          {settings.daemon, instance_id, settings.availability_zone,
           RegionOf(settings), settings.peers, settings.lease,
           settings.quota_window, settings.usage_window.count(), settings.cores,
           settings.reports_usage, settings.orders_upstreams,
           settings.is_first_start, settings.strategies},
          CoordinatorEnvironment()),
      listeners(details::ListenerLimitsFor(settings.memory_mb,
                                           details::DescriptorLimit()),
                log) {
  gateway.SetPeerCall([this](const Endpoint& peer, const std::string& kind,
                             const QByteArray& message, Duration timeout,
                             PeerNode::Done done) {
    coordinator.CallPeer(peer, kind, message, timeout, std::move(done));
  });
  gateway.SetPeerStreamCall([this](const Endpoint& peer,
                                   const std::string& kind,
                                   const QByteArray& message,
                                   PeerStream::Handlers handlers) {
    return coordinator.OpenPeerStream(peer, kind, message, std::move(handlers));
  });
  if (ServesRollouts()) {
    rollouts.emplace(
        relay.get(), ports.rollout_kind, kPollTimeout, Duration(0),
        details::RolloutHooks(&gateway, ports.decode_rollout, log));
  }
  BuildServers();
  BuildTree();
  ports.store_era->AddHandler([this](std::int64_t from, std::int64_t to) {
    ++store_returns;
    log->Write("store-returned", {{"era", static_cast<qint64>(to)},
                                  {"before", static_cast<qint64>(from)}});
    coordinator.OnStoreReturned(to);
    gateway.RecordStoreReturn();
    configuration.OnStoreEra(to);
    upstreams.OnStoreEra(to);
    if (rollouts) rollouts->OnStoreEra(to);
  });
  QObject::connect(&confirmation_timer, &QTimer::timeout, &confirmation_timer,
                   [this] {
                     RenewConfirmation();
                     RenewUpstreams();
                   });
  version_timer.setSingleShot(true);
  QObject::connect(&version_timer, &QTimer::timeout, &version_timer,
                   [this] { configuration.CheckNow(); });
  QObject::connect(&drain_timer, &QTimer::timeout, &drain_timer,
                   [this] { CheckDrain(); });
}

void GatewayDaemon::Impl::LogDependency(const char* name,
                                        bool recovered) const {
  log->Write(recovered ? "dependency-regained" : "dependency-lost",
             {{"dependency", name}});
}

KindWatcher::Hooks GatewayDaemon::Impl::ConfigurationHooks() {
  KindWatcher::Hooks hooks;
  hooks.on_list = [this](const std::vector<KindObject>& objects,
                         TimePoint asked_at) {
    for (const auto& object : objects) ApplyConfiguration(object);
    if (configuration_valid) gateway.ConfirmRoutes(asked_at);
  };
  hooks.on_changes = [this](const std::vector<KindChange>& changes,
                            std::optional<TimePoint> confirmed_at) {
    for (const auto& change : changes) {
      if (!change.removed) ApplyConfiguration(change.object);
    }
    if (configuration_valid && confirmed_at) {
      gateway.ConfirmRoutes(*confirmed_at);
    }
  };
  hooks.on_outage = [this, lost = false]() mutable {
    if (!std::exchange(lost, true)) LogDependency("configuration", false);
    gateway.RecordStoreOutage();
  };
  hooks.on_recovered = [this] {
    LogDependency("configuration", true);
    upstreams.RestartWait();
  };
  return hooks;
}

void GatewayDaemon::Impl::ApplyConfiguration(const KindObject& object) {
  if (object.name != ports.configuration_name) return;
  auto decoded =
      Capture([&] { return ports.decode_configuration(object.content); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    configuration_valid = false;
    log->Write("configuration-bad", {{"reason", Text(error->message)}});
    return;
  }
  configuration_valid = true;
  gateway.SetRoutes(std::make_shared<const RouteTable>(
      std::move(std::get<RouteTableContent>(decoded))));
  ApplyLimits();
}

void GatewayDaemon::Impl::ApplyLimits() {
  const auto& limits = gateway.routes()->content().limits;
  max_idle_time =
      std::max(max_idle_time, limits.idle_timeout + kIdleTimeoutMargin);
  caller_server->SetLimits(details::ServerLimitsOf(
      limits, max_idle_time, listeners.limits().caller_connections));
}

KindWatcher::Hooks GatewayDaemon::Impl::UpstreamHooks() {
  KindWatcher::Hooks hooks;
  hooks.on_list = [this](const std::vector<KindObject>& objects, TimePoint) {
    std::vector<UpstreamEntry> entries;
    for (const auto& object : objects) DecodeUpstream(object, &entries);
    const auto before = AvailableIds(gateway.upstreams());
    gateway.ApplyUpstreams(entries);
    gateway.ConfirmUpstreams();
    const auto departed =
        std::count_if(before.begin(), before.end(), [this](const auto& id) {
          return !IsAvailable(gateway.upstreams(), id);
        });
    RecordUpstreamContact(static_cast<std::size_t>(departed), true);
    upstreams_listed = true;
  };
  hooks.on_changes = [this](const std::vector<KindChange>& changes,
                            std::optional<TimePoint> confirmed_at) {
    std::size_t departed = 0;
    for (const auto& change : changes) {
      std::vector<UpstreamEntry> entries;
      if (!change.removed) DecodeUpstream(change.object, &entries);
      const auto& id = change.object.name;
      const bool was_available = IsAvailable(gateway.upstreams(), id);
      if (entries.empty()) {
        gateway.RemoveUpstream(id);
      } else {
        gateway.ApplyUpstream(entries.front());
      }
      const bool has_left = entries.empty() || entries.front().leaving;
      if (was_available && has_left) ++departed;
    }
    gateway.ConfirmUpstreams();
    RecordUpstreamContact(departed, confirmed_at.has_value());
  };
  hooks.on_outage = [this] { gateway.RecordStoreOutage(); };
  hooks.on_recovered = [this] { LogDependency("upstreams", true); };
  return hooks;
}

void GatewayDaemon::Impl::DecodeUpstream(const KindObject& object,
                                         std::vector<UpstreamEntry>* out) {
  auto decoded = Capture(
      [&] { return ports.decode_upstream(object.name, object.content); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    log->Write("upstream-entry-bad", {{"upstream", Text(object.name)},
                                      {"reason", Text(error->message)}});
    return;
  }
  out->push_back(std::move(std::get<UpstreamEntry>(decoded)));
}

bool GatewayDaemon::Impl::IsReady() const {
  return !draining && upstreams_listed &&
         gateway.freshness().IsFresh(MonotonicNow());
}

void GatewayDaemon::Impl::RenewConfirmation() {
  const auto age = gateway.freshness().Age(MonotonicNow());
  const auto bound = static_cast<double>(gateway.freshness().bound().count());
  const Duration old(
      static_cast<std::int64_t>(bound * kStaleConfirmationFraction));
  const auto due =
      coordinator.IsHolder() ? std::min(kConfirmationPeriod, old) : old;
  const auto now = MonotonicNow();
  if (age && *age < due) {
    confirmation_backoff = kConfirmationCheckInterval;
    return;
  }
  if (now - confirmation_requested_at < confirmation_backoff) return;
  confirmation_requested_at = now;
  // Other daemons rely on the coordinator's confirmation, so the coordinator
  // renews it without backoff.
  confirmation_backoff =
      coordinator.IsHolder()
          ? Duration(0)
          : std::clamp(confirmation_backoff * 2, kConfirmationCheckInterval,
                       kMaxConfirmationBackoff);
  configuration.CheckNow();
}

void GatewayDaemon::Impl::RenewUpstreams() {
  // The store answers the waiting call of a daemon without sources itself.
  if (!reads_from_daemons) return;
  const auto age = relay->StoreContactAge(ports.upstream_kind);
  if (!upstream_staleness.TakeDue(age, MonotonicNow())) return;
  log->Write("upstreams-late",
             {{"contact_age_ms", static_cast<qint64>(age->count())}});
  upstreams.CheckNow();
}

void GatewayDaemon::Impl::RecordUpstreamContact(std::size_t departed,
                                                bool is_direct) {
  const auto now = MonotonicNow();
  const auto age = relay->StoreContactAge(ports.upstream_kind);
  const auto known_before =
      std::exchange(upstreams_known_at, now - age.value_or(Duration(0)));
  if (departed == 0 || !upstreams_listed) return;
  const auto unknown_for = now - known_before;
  departure_ages.Record(unknown_for);
  log->Write("upstreams-departed",
             {{"count", static_cast<qint64>(departed)},
              {"unknown_for_ms", static_cast<qint64>(unknown_for.count())},
              {"direct", is_direct}});
}

void GatewayDaemon::Impl::LogReadinessChange() {
  const bool now_ready = IsReady();
  if (std::exchange(was_ready, now_ready) == now_ready) return;
  log->Write("readiness", {{"ready", now_ready},
                           {"draining", draining},
                           {"upstreams_listed", upstreams_listed}});
}

std::string GatewayDaemon::Impl::MetricsText() const {
  const auto age = gateway.freshness().Age(MonotonicNow());
  const auto* routes = gateway.routes();
  details::DaemonFigures figures;
  if (routes != nullptr) figures.config_version = routes->version();
  if (age) figures.config_age_ms = age->count();
  figures.upstreams = gateway.upstreams().all().size();
  figures.requests_in_work = gateway.ActiveRequestCount();
  figures.connections = caller_server->ConnectionCount();
  figures.is_coordinator = coordinator.IsHolder();
  figures.log_dropped = log->dropped();
  figures.store_era = ports.store_era->current();
  figures.store_returns = store_returns;
  figures.caught_exceptions = CaughtExceptionCount();
  return metrics.PrometheusText() + loop_monitor.PrometheusText() +
         departure_ages.PrometheusText() + gateway.UpstreamLimitMetrics() +
         gateway.QuarantineMetrics() + gateway.RolloutMetrics() +
         gateway.ShortageMetrics() + gateway.StreamMetrics() +
         gateway.LinkMetrics() + coordinator.MetricsText() +
         details::ConnectionCutMetrics(*caller_server) + listeners.Metrics() +
         details::MetricsText(figures);
}

void GatewayDaemon::Impl::CheckDrain() {
  using details::DrainStep;
  const auto step = details::NextDrainStep(
      {MonotonicNow() - drain_started, settings.drain_time,
       gateway.ActiveRequestCount(), caller_server->ConnectionCount(),
       is_listener_closed, coordinator.HasUnsentResponse(),
       coordinator.HasToHandOver()});
  if (step == DrainStep::kServe) return;
  if (!std::exchange(is_listener_closed, true)) {
    log->Write("listener-closed", {{"idle", step != DrainStep::kStop}});
    caller_server->StopAccepting();
  }
  if (step == DrainStep::kCloseListener) return;
  drain_timer.stop();
  log->Write("stop", {{"requests_left",
                       static_cast<qint64>(gateway.ActiveRequestCount())},
                      {"connections_left",
                       static_cast<qint64>(caller_server->ConnectionCount())}});
  gateway.EndRequests();
  QTimer::singleShot(kLastResponseTime, &drain_timer, [this] {
    root->Stop();
    on_stopped();
  });
}

GatewayDaemon::GatewayDaemon(GatewayDaemonSettings settings,
                             PlatformPorts ports, EventLog* log,
                             std::function<void()> on_stopped)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(ports), log,
                                   std::move(on_stopped))) {}

GatewayDaemon::~GatewayDaemon() = default;

bool GatewayDaemon::Start() {
  impl_->log->Write("start",
                    {{"life", Text(impl_->instance_id)},
                     {"zone", Text(impl_->settings.availability_zone)},
                     {"first_start", impl_->settings.is_first_start},
                     {"callers", Text(impl_->settings.callers.ToString())}});
  impl_->loop_monitor.Start();
  return impl_->root->Start();
}

void GatewayDaemon::RequestStop() {
  if (std::exchange(impl_->draining, true)) return;
  impl_->drain_started = MonotonicNow();
  impl_->log->Write(
      "drain",
      {{"requests", static_cast<qint64>(impl_->gateway.ActiveRequestCount())}});
  impl_->caller_server->CloseAfterResponses();
  impl_->gateway.StartDrain(impl_->drain_started + impl_->settings.drain_time -
                            details::kStopMargin);
  impl_->drain_timer.start(details::kDrainCheckInterval);
}

void GatewayDaemon::ApplySettings(const GatewayDaemonSettings& settings) {
  const bool same = settings == impl_->settings;
  impl_->log->Write("reload", {{"changed", !same}});
  if (same) return;
  details::CopyReloadableSettings(settings, &impl_->settings);
  impl_->gateway.ApplySettings(GatewaySettingsOf(impl_->settings));
}

bool GatewayDaemon::IsReady() const { return impl_->IsReady(); }

}  // namespace firmoor
