#include "observe_endpoint.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QtHttpServer/QHttpServer>
#include <utility>

#include "base/log.h"

namespace firmoor {
namespace {

constexpr Logger kLog("observe");

QHttpServerResponse TextResponse(const std::string& body, bool is_ok) {
  return {"text/plain; charset=utf-8", QByteArray::fromStdString(body),
          is_ok ? QHttpServerResponder::StatusCode::Ok
                : QHttpServerResponder::StatusCode::ServiceUnavailable};
}

}  // namespace

struct ObserveEndpoint::Impl {
  Endpoint endpoint;
  Hooks hooks;
  std::unique_ptr<QHttpServer> server;
};

ObserveEndpoint::ObserveEndpoint(const Endpoint& endpoint, Hooks hooks)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = endpoint;
  impl_->hooks = std::move(hooks);
}

ObserveEndpoint::~ObserveEndpoint() = default;

bool ObserveEndpoint::Start() {
  impl_->server = std::make_unique<QHttpServer>();
  auto* hooks = &impl_->hooks;
  impl_->server->route("/live", [] { return TextResponse("live\n", true); });
  impl_->server->route("/ready", [hooks] {
    const bool ready = hooks->is_ready();
    return TextResponse(ready ? "ready\n" : "not ready\n", ready);
  });
  impl_->server->route(
      "/metrics", [hooks] { return TextResponse(hooks->metrics(), true); });
  const QHostAddress address(QString::fromStdString(impl_->endpoint.address));
  const auto port = impl_->server->listen(address, impl_->endpoint.port);
  if (port != impl_->endpoint.port) {
    kLog.Error("Cannot listen on {}.", impl_->endpoint.ToString());
    return false;
  }
  return true;
}

void ObserveEndpoint::Stop() { impl_->server.reset(); }

}  // namespace firmoor
