#include <QTimer>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "base/text.h"
#include "details/exchange.h"
#include "details/gateway_impl.h"
#include "gateway/gateway.h"
#include "gateway/refusal.h"

namespace firmoor {
namespace {

using details::Exchange;

// Longest wait of requests that arrive before the first configuration, which is
// read within about 100 ms of the start.
constexpr Duration kFirstConfigurationTimeout{300};
// New connections reach other daemons, so callers can retry soon.
constexpr Duration kDrainRetryDelay{20};

}  // namespace

void Gateway::Impl::LogRejection(const std::string& id,
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

std::optional<HttpResponse> Gateway::RejectByHead(
    const HttpRequest& head) const {
  const auto& context = impl_->context;
  const auto now = MonotonicNow();
  if (!context.table || !context.freshness.IsFresh(now)) return std::nullopt;
  const bool has_route = context.table->Match(HeaderValue(head.headers, "Host"),
                                              head.Path()) != nullptr;
  if (has_route && !context.drain) return std::nullopt;
  const auto read = context.environment.dialect->DecodeRequest(head);
  const auto* forward = std::get_if<ForwardRequest>(&read);
  if (forward == nullptr) return std::nullopt;
  const auto decided =
      AdmitRequest(*forward, context.table.get(), context.freshness, now);
  std::optional<Failure> failure;
  if (const auto* admission = std::get_if<RequestAdmission>(&decided)) {
    // It will not be accepted either when its body is whole.
    failure = impl_->RefusalWhileDraining(*admission, now);
  } else if (!has_route) {
    failure = std::get<Failure>(decided);
  }
  if (!failure) return std::nullopt;
  impl_->LogRejection(forward->id, *failure);
  return MakeGatewayRefusal(*failure, forward->id);
}

std::optional<Failure> Gateway::Impl::RefusalWhileDraining(
    const RequestAdmission& admission, TimePoint now) const {
  const bool accepts =
      !context.drain ||
      AcceptsWhileDraining(*admission.route, *context.drain, now);
  if (accepts) return std::nullopt;
  return Failure{
      {ResultCode::kDraining, ""}, RequestOutcome::kNotRun, kDrainRetryDelay};
}

void Gateway::Handle(HttpRequest request,
                     const std::shared_ptr<ResponseWriter>& responder) {
  const bool waits = impl_->queues_early_requests && !impl_->context.table;
  if (waits) return impl_->QueueEarlyRequest(std::move(request), responder);
  impl_->Handle(std::move(request), responder, MonotonicNow());
}

void Gateway::Impl::QueueEarlyRequest(
    HttpRequest request, const std::shared_ptr<ResponseWriter>& responder) {
  if (early_requests.empty()) {
    QTimer::singleShot(kFirstConfigurationTimeout, &context.event_context,
                       [this] {
                         queues_early_requests = false;
                         HandleEarlyRequests();
                       });
  }
  early_requests.push_back({std::move(request), responder, MonotonicNow()});
}

void Gateway::Impl::HandleEarlyRequests() {
  for (auto& waiting : std::exchange(early_requests, {})) {
    if (!waiting.responder->IsOpen()) continue;
    Handle(std::move(waiting.request), waiting.responder, waiting.arrived_at);
  }
}

void Gateway::Impl::Handle(HttpRequest request,
                           const std::shared_ptr<ResponseWriter>& responder,
                           TimePoint arrived_at) {
  auto read = context.environment.dialect->DecodeRequest(std::move(request));
  if (const auto* error = std::get_if<Error>(&read)) {
    const Failure failure{*error, RequestOutcome::kNotRun, std::nullopt};
    LogRejection("", failure);
    return responder->Send(MakeGatewayRefusal(failure, ""));
  }
  auto& forward = std::get<ForwardRequest>(read);
  if (forward.caller_timeout) {
    *forward.caller_timeout -= MonotonicNow() - arrived_at;
  }
  const auto decided = AdmitRequest(forward, context.table.get(),
                                    context.freshness, MonotonicNow());
  if (const auto* failure = std::get_if<Failure>(&decided)) {
    LogRejection(forward.id, *failure);
    return responder->Send(MakeGatewayRefusal(*failure, forward.id));
  }
  const auto& admission = std::get<RequestAdmission>(decided);
  if (const auto failure = RefusalWhileDraining(admission, MonotonicNow())) {
    LogRejection(forward.id, *failure);
    return responder->Send(MakeGatewayRefusal(*failure, forward.id));
  }
  const auto exchange = std::make_shared<Exchange>(&context, std::move(forward),
                                                   admission, responder);
  context.Add(exchange);
  exchange->Start();
}

}  // namespace firmoor
