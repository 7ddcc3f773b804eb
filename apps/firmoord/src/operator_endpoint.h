#ifndef FIRMOOR_FIRMOORD_OPERATOR_ENDPOINT_H_
#define FIRMOOR_FIRMOORD_OPERATOR_ENDPOINT_H_

#include <QJsonObject>
#include <functional>
#include <memory>

#include "config/settings.h"
#include "config_service.h"
#include "http/http_server.h"

namespace firmoor {

/// HTTP API for firmoorctl: configuration, status, report and drain. Uses
/// `HttpServer` because the response to a patch is sent asynchronously.
class OperatorEndpoint {
 public:
  struct Hooks {
    ConfigService* config = nullptr;
    std::function<QJsonObject()> status;
    std::function<QJsonObject()> report;
    std::function<void()> drain;
  };

  /// `uploads`: what requests take of the memory.
  OperatorEndpoint(const Settings& settings,
                   std::shared_ptr<BodyBudget> uploads, Hooks hooks);

  bool Start();
  void Stop();

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder);
  bool IsAuthorized(const HttpRequest& request) const;
  void GetConfig(const HttpRequest& request, const Responder& responder);
  void PostPatch(const HttpRequest& request, const Responder& responder);
  void PostValidate(const HttpRequest& request, const Responder& responder);
  void GetStatus(const HttpRequest& request, const Responder& responder);
  void GetReport(const HttpRequest& request, const Responder& responder);
  void PostDrain(const HttpRequest& request, const Responder& responder);

  Settings settings_;
  Hooks hooks_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace firmoor

#endif  // FIRMOOR_FIRMOORD_OPERATOR_ENDPOINT_H_
