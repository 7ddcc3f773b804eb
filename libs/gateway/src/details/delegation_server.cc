#include "details/delegation_server.h"

#include <optional>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "base/text.h"
#include "details/delegated_response_writer.h"
#include "details/exchange.h"
#include "gateway/refusal.h"
#include "gateway/request_admission.h"

namespace firmoor::details {
namespace {

/// Why this daemon does not serve the request; empty if it does.
std::optional<PeerRefusal> RefusalOf(const GatewayContext& context,
                                     const DelegatedRequest& delegated) {
  const auto now = MonotonicNow();
  if (context.drain) return PeerRefusal::kStopping;
  const bool is_current =
      context.table && context.table->version() >= delegated.config_version;
  if (!is_current) return PeerRefusal::kOutdated;
  if (!context.links.reachability().SendsDirectly(
          delegated.service, Hash64(delegated.request.id, 0), now)) {
    return PeerRefusal::kUnreachable;
  }
  if (!context.delegations.MayTake(delegated.request.body.size())) {
    return PeerRefusal::kBusy;
  }
  return std::nullopt;
}

void Log(const GatewayContext& context, const DelegatedRequest& delegated,
         std::string_view answer) {
  context.environment.log->Write(
      "delegation", {{"request", Text(delegated.request.id)},
                     {"from", Text(delegated.sender)},
                     {"service", Text(delegated.service)},
                     {"config", static_cast<qint64>(delegated.config_version)},
                     {"answer", Text(answer)}});
}

}  // namespace

void ServeDelegation(GatewayContext* context, std::string_view kind,
                     const QByteArray& message,
                     const std::shared_ptr<PeerStreamResponder>& responder) {
  // A series without messages tells the sender that the call is not supported.
  if (kind != kDelegationKind) return responder->Finish();
  const auto writer = std::make_shared<DelegatedResponseWriter>(responder);
  std::optional<DelegatedRequest> request;
  const auto decoded = Capture([&]() -> Result<bool> {
    BOOST_LEAF_ASSIGN(request, DelegatedRequest::Decode(message));
    return true;
  });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    context->environment.log->Write("delegation-bad",
                                    {{"reason", Text(error->message)}});
    return writer->Refuse(PeerRefusal::kUnsupported);
  }
  const auto& delegated = *request;
  const auto refuse = [&](PeerRefusal reason) {
    Log(*context, delegated, NameOf(reason));
    context->delegations.OnTakeRefused();
    writer->Refuse(reason);
  };
  if (const auto reason = RefusalOf(*context, delegated)) {
    return refuse(*reason);
  }
  const auto admitted = AdmitRequest(delegated.request, context->table.get(),
                                     context->freshness, MonotonicNow());
  if (const auto* failure = std::get_if<Failure>(&admitted)) {
    // Another daemon may know that its configuration is current.
    const bool is_outdated = failure->error.code == ResultCode::kNotReady;
    if (is_outdated) return refuse(PeerRefusal::kOutdated);
    Log(*context, delegated, InfoOf(failure->error.code).name);
    return writer->Send(MakeGatewayRefusal(*failure, delegated.request.id));
  }
  Log(*context, delegated, "accepted");
  context->delegations.OnTaken(delegated.request.body.size());
  writer->Accept();
  const auto exchange = std::make_shared<Exchange>(
      context, delegated.request, std::get<RequestAdmission>(admitted), writer,
      Exchange::Origin{delegated, writer});
  context->Add(exchange);
  exchange->Start();
}

}  // namespace firmoor::details
