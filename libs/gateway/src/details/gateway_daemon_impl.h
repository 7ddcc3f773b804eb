#ifndef FIRMOOR_GATEWAY_DETAILS_GATEWAY_DAEMON_IMPL_H_
#define FIRMOOR_GATEWAY_DETAILS_GATEWAY_DAEMON_IMPL_H_

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/supervisor.h"
#include "details/listeners.h"
#include "dissemination/kind_relay.h"
#include "dissemination/staleness_monitor.h"
#include "gateway/coordinator_service.h"
#include "gateway/gateway.h"
#include "gateway/gateway_daemon.h"
#include "http/http_server.h"
#include "metrics/duration_histogram.h"
#include "metrics/event_loop_monitor.h"
#include "platform/kind_watcher.h"

namespace firmoor {
namespace details {

// Interval at which a daemon looks whether its configuration is confirmed.
constexpr Duration kConfirmationCheckInterval{300};

}  // namespace details

/// State of the daemon. Its parts are put together in gateway_daemon_parts.cc,
/// what they tell is handled in gateway_daemon.cc.
struct GatewayDaemon::Impl {
  GatewayDaemonSettings settings;
  PlatformPorts ports;
  EventLog* log;
  std::function<void()> on_stopped;
  std::string instance_id;
  ServiceMetrics metrics;
  EventLoopMonitor loop_monitor;
  TrueTime true_time;
  Gateway gateway;
  std::unique_ptr<KindRelay> relay;
  StalenessMonitor upstream_staleness;
  DurationHistogram departure_ages;
  KindWatcher configuration;
  KindWatcher upstreams;
  std::optional<KindWatcher> rollouts;  ///< If the settings ask for them.
  CoordinatorService coordinator;
  details::Listeners listeners;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<Supervisor> root;
  QTimer drain_timer;
  QTimer confirmation_timer;
  QTimer version_timer;
  TimePoint confirmation_requested_at;
  TimePoint upstreams_known_at;  ///< All earlier changes have been applied.
  Duration confirmation_backoff{0};
  bool configuration_valid = false;
  bool upstreams_listed = false;
  bool reads_from_daemons = false;  ///< Instead of the store.
  bool was_ready = false;
  Duration max_idle_time{0};
  std::int64_t store_returns = 0;  ///< From an older copy, as heard of.
  TimePoint drain_started;
  bool draining = false;
  bool is_listener_closed = false;  ///< For callers.

  Impl(GatewayDaemonSettings daemon_settings, PlatformPorts platform_ports,
       EventLog* event_log, std::function<void()> stopped);

  std::unique_ptr<KindRelay> BuildRelay();
  CoordinatorService::Environment CoordinatorEnvironment();
  KindWatcher::Hooks ConfigurationHooks();
  KindWatcher::Hooks UpstreamHooks();
  [[nodiscard]] bool ServesRollouts() const {
    return settings.rollouts.enabled && settings.strategies.rollouts &&
           ports.rollouts != nullptr;
  }
  void LogDependency(const char* name, bool recovered) const;
  void ApplyConfiguration(const KindObject& object);
  void DecodeUpstream(const KindObject& object,
                      std::vector<UpstreamEntry>* out);
  void ApplyLimits();
  void BuildServers();
  void BuildTree();
  void RenewConfirmation();
  /// Asks the store for changes of upstreams if the sources are late.
  void RenewUpstreams();
  /// Tells of upstreams that left, once the store's changes are applied, and
  /// how long that may have been unknown here.
  void RecordUpstreamContact(std::size_t departed, bool is_direct);
  void LogReadinessChange();
  void CheckDrain();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::string MetricsText() const;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DETAILS_GATEWAY_DAEMON_IMPL_H_
