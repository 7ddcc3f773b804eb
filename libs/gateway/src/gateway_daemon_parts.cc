#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "details/gateway_daemon_impl.h"
#include "details/gateway_settings.h"
#include "details/quarantine_endpoint.h"
#include "details/supervised_parts.h"

namespace firmoor {
namespace {

using details::kConfirmationCheckInterval;

// Delay before a version announced by the coordinator is requested: a daemon
// that reads from other daemons receives it a little later.
constexpr Duration kVersionCheckDelay{400};
// Operators' requests name one verdict at most.
constexpr std::uint64_t kMaxOperatorBodyBytes = 16 * 1024;

HttpResponse PlainText(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

std::unique_ptr<KindRelay> GatewayDaemon::Impl::BuildRelay() {
  const auto staleness = details::MaxSourceStaleness(settings);
  KindRelay::Builder builder(ports.kinds);
  builder.Kind({ports.configuration_kind, std::nullopt})
      .Kind({ports.upstream_kind, staleness});
  // The coordinator tells the stages, so that old orders do no harm.
  if (ServesRollouts()) builder.Kind({ports.rollout_kind, std::nullopt});
  return builder
      .Peers([this](const Endpoint& peer, const QByteArray& request,
                    Duration timeout, PeerNode::Done done) {
        coordinator.CallRelay(peer, request, timeout, std::move(done));
      })
      .Log(log)
      .Era(ports.store_era)
      .Build();
}

CoordinatorService::Environment GatewayDaemon::Impl::CoordinatorEnvironment() {
  CoordinatorService::Environment environment;
  environment.gateway = &gateway;
  environment.store = ports.objects;
  environment.store_era = ports.store_era;
  environment.cloud = ports.cloud;
  if (ServesRollouts()) environment.rollouts = ports.rollouts;
  environment.true_time = &true_time;
  environment.log = log;
  environment.check_configuration = [this] {
    if (!version_timer.isActive()) version_timer.start(kVersionCheckDelay);
  };
  environment.set_sources = [this](const std::vector<Endpoint>& sources) {
    relay->SetSources(sources);
    reads_from_daemons = !sources.empty();
  };
  environment.serve_relay = [this](const QByteArray& request,
                                   const PeerNode::Reply& reply) {
    relay->Serve(request, reply);
  };
  return environment;
}

void GatewayDaemon::Impl::BuildServers() {
  caller_server =
      listeners.ForCallers(settings.callers)
          .HeadCheck([this](const HttpRequest& head) {
            return gateway.RejectByHead(head);
          })
          .Handler([this](HttpRequest request,
                          const std::shared_ptr<HttpResponder>& responder) {
            gateway.Handle(std::move(request), responder);
          })
          .Build();
  ready_server =
      listeners.ForOperators("ready", settings.ready, 0)
          .Handler([this](const HttpRequest&, const auto& responder) {
            LogReadinessChange();
            responder->Send(IsReady() ? PlainText(200, "ready\n")
                                      : PlainText(503, "not ready\n"));
          })
          .Build();
  // Kept connections would take the few places of those that ask next.
  ready_server->CloseAfterResponses();
  metrics_server =
      listeners.ForOperators("metrics", settings.metrics, kMaxOperatorBodyBytes)
          .Handler([this](const HttpRequest& request, const auto& responder) {
            const bool lists =
                request.Path().starts_with(details::kQuarantinePath);
            responder->Send(
                lists ? details::AnswerQuarantine(&gateway, request,
                                                  responder->CallerAddress(),
                                                  settings.metrics.address)
                      : PlainText(200, MetricsText()));
          })
          .Build();
}

void GatewayDaemon::Impl::BuildTree() {
  using details::FollowerPart;
  using details::ServerPart;
  Supervisor::Builder builder("gateway");
  builder.Part(FollowerPart("configuration", &configuration))
      .Part(FollowerPart("upstreams", &upstreams));
  if (rollouts) builder.Part(FollowerPart("rollouts", &*rollouts));
  root = builder
             .Part({"proofs",
                    [this] {
                      confirmation_timer.start(kConfirmationCheckInterval);
                      return true;
                    },
                    [this] { confirmation_timer.stop(); }})
             .Part({"duties", [this] { return coordinator.Start(); },
                    [this] { coordinator.Stop(); },
                    [this] { return coordinator.IsAddressInUse(); }})
             .Part(ServerPart("callers", caller_server.get()))
             .Part(ServerPart("ready", ready_server.get()))
             .Part(ServerPart("metrics", metrics_server.get()))
             .OnRetry([this](const Supervisor::Retry& retry) {
               log->Write(
                   "start-delayed",
                   {{"part", Text(retry.part)},
                    {"attempts", retry.attempts},
                    {"retry_ms", static_cast<qint64>(retry.delay.count())}});
             })
             .Build();
}

}  // namespace firmoor
