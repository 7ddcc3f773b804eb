#ifndef FIRMOOR_GATEWAY_GATEWAY_H_
#define FIRMOOR_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "gateway/dialect.h"
#include "gateway/strategies.h"
#include "gateway/true_time.h"
#include "http/http_server.h"
#include "limits/quota_pool.h"
#include "limits/usage_ledger.h"
#include "metrics/service_metrics.h"
#include "routing/config_freshness.h"
#include "routing/route_table.h"
#include "routing/upstream_catalog.h"

namespace firmoor {

/// Limits of a gateway that hold over all daemons, and where it runs.
struct GatewaySettings {
  std::string daemon;
  UpstreamPicker::Location location;
  /// Oldest proof of the configuration under which keys are believed.
  Duration freshness_bound{3'800};
  /// Repeats for each request, and repeats saved by all daemons together.
  double retry_ratio = 0.2;
  double retry_burst = 50;
  /// Tokens by which all daemons together may exceed a workspace's quota.
  double quota_slack = 0;
  Duration quota_window{8'000};  ///< Span in which a quota holds.
  /// How long lapsed upstream entries may take to return.
  Duration reregistration_time{2'200};
  std::int64_t usage_window_ms = 5'000;
  Strategies strategies;

  bool operator==(const GatewaySettings&) const = default;
};

/// What a daemon may use of the limits that all daemons share.
struct SharedLimits {
  /// Tokens that may pass, by workspace, from the last report on.
  std::map<std::string, QuotaGrant> quota_grants;
  /// Daemons that share. Until one knows, as many as a large fleet has, since
  /// too small a part is mended by the coordinator's first answer.
  std::size_t daemons = 64;

  bool operator==(const SharedLimits&) const = default;
};

/// What a service's upstreams are asked to do, as seen by one daemon.
struct ServiceLoad {
  double in_flight = 0;
  double tokens_per_s = 0;  ///< Prompt tokens sent in the last seconds.

  bool operator==(const ServiceLoad&) const = default;
};

/// Forwards callers' requests to upstreams by the routes of a configuration:
/// checks, counts against quotas, picks an upstream, sends, repeats or resumes
/// where the route allows it, and answers. Not thread-safe; lives in the event
/// loop.
class Gateway {
 public:
  /// All of them outlive the gateway.
  struct Environment {
    const Dialect* dialect = nullptr;
    EventLog* log = nullptr;
    ServiceMetrics* metrics = nullptr;
    TrueTime* true_time = nullptr;
  };

  Gateway(GatewaySettings settings, Environment environment);
  ~Gateway();

  /// Takes a configuration; versions that are not newer change nothing.
  void SetRoutes(std::shared_ptr<const RouteTable> table);
  /// The configuration was the newest one when the store was asked.
  void ConfirmRoutes(TimePoint asked_at);
  /// Another daemon has a proof of that age that `version` is the newest one;
  /// it was asked for at `asked_at`. False when this daemon holds an older one.
  bool ConfirmRoutesFromPeer(std::int64_t version, Duration age,
                             TimePoint asked_at);
  [[nodiscard]] const RouteTable* routes() const;
  [[nodiscard]] const ConfigFreshness& freshness() const;

  void ApplyUpstreams(const std::vector<UpstreamEntry>& entries);
  void ApplyUpstream(const UpstreamEntry& entry);
  void RemoveUpstream(const std::string& id);
  /// The store failed a call, so entries of upstreams may lapse.
  void RecordStoreOutage();
  [[nodiscard]] const UpstreamCatalog& upstreams() const;

  void SetSharedLimits(const SharedLimits& limits);
  /// Takes the number of daemons that share, and the tokens that they had let
  /// pass in the window, by workspace, before the coordinator told its own. 0
  /// daemons: nothing is known of them.
  void SeedSharedLimits(std::size_t daemons,
                        const std::map<std::string, double>& used);
  /// The number of daemons is about to be read: until then, or `until`,
  /// requests that a quota does not cover wait for it.
  void AwaitSharedLimits(TimePoint until);
  /// Daemons that share limits, as far as this one knows.
  [[nodiscard]] std::size_t SharingDaemonCount() const;
  /// Takes settings that changed; the location and windows keep their values.
  void ApplySettings(const GatewaySettings& settings);

  /// Serves one request of a caller.
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpResponder>& responder);

  /// The process ends at `ends_at`: requests that could not be answered before
  /// are refused, so that their callers go elsewhere.
  void StartDrain(TimePoint ends_at);

  /// Requests without a final answer.
  [[nodiscard]] bool IsDraining() const;
  [[nodiscard]] std::size_t ActiveRequestCount() const;

  /// Requests that began to run here, by window and workspace.
  UsageLedger& ledger();
  /// What passed and was asked of each quota; the next `SetSharedLimits`
  /// counts from this moment.
  std::map<std::string, QuotaUsage> ReportQuotas();
  /// The quota of a workspace, from the configuration.
  [[nodiscard]] QuotaLimit QuotaOf(const std::string& workspace) const;
  /// Called when an allowance runs short before the next report is due.
  void OnQuotaShort(std::function<void()> handler);
  [[nodiscard]] std::map<std::string, ServiceLoad> Loads() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_GATEWAY_H_
