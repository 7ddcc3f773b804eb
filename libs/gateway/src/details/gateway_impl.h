#ifndef FIRMOOR_GATEWAY_DETAILS_GATEWAY_IMPL_H_
#define FIRMOOR_GATEWAY_DETAILS_GATEWAY_IMPL_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "details/gateway_context.h"
#include "gateway/gateway.h"

namespace firmoor {

/// State of the gateway. Changes of what it knows are handled in gateway.cc,
/// requests in gateway_requests.cc, upstreams that shut down in
/// gateway_evacuation.cc, roll-outs in gateway_rollouts.cc.
struct Gateway::Impl {
  struct EarlyRequest {
    HttpRequest request;
    std::shared_ptr<ResponseWriter> responder;
    TimePoint arrived_at;
  };

  details::GatewayContext context;
  /// Requests that wait for the first configuration.
  std::vector<EarlyRequest> early_requests;
  bool queues_early_requests = true;
  bool limits_seeded = false;
  std::map<std::string, double> seeded_usage;  ///< Tokens, by workspace.

  Impl(GatewaySettings settings, Environment environment)
      : context(std::move(settings), environment) {}

  void QueueEarlyRequest(HttpRequest request,
                         const std::shared_ptr<ResponseWriter>& responder);
  void HandleEarlyRequests();
  void Handle(HttpRequest request,
              const std::shared_ptr<ResponseWriter>& responder,
              TimePoint arrived_at);
  void ApplySeededUsage();
  /// Set if the daemon stops too soon to serve the request.
  [[nodiscard]] std::optional<Failure> RefusalWhileDraining(
      const RequestAdmission& admission, TimePoint now) const;
  void LogRejection(const std::string& id, const Failure& failure) const;
  void ScheduleShutdownQuery(const UpstreamEntry& entry);
  void QueryTimeToShutdown(const UpstreamEntry& entry);
  void Evacuate(const UpstreamEntry& entry, Duration time_to_shutdown);
  void LogUpstream(const UpstreamEntry& entry, std::string_view change) const;
  /// Takes over a change of the catalog.
  void SyncCatalog();
  void OnUpstreamReplaced(const std::string& id);
  void ExtendMaxStreamTime();
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DETAILS_GATEWAY_IMPL_H_
