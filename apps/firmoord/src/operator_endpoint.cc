#include "operator_endpoint.h"

#include <QJsonDocument>
#include <utility>

#include "serving/error_answer.h"

namespace firmoor {
namespace {

constexpr int kOk = 200;

HttpResponse JsonAnswer(const QJsonObject& object) {
  return {kOk,
          {{"Content-Type", "application/json"}},
          QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
}

void SendError(HttpResponder* responder, const Error& error,
               std::int64_t version = 0) {
  auto answer = MakeErrorAnswer({error, RequestOutcome::kNotRun, {}}, "");
  answer.headers.push_back({"Firmoor-Version", std::to_string(version)});
  responder->Send(answer);
}

Outcome<ConfigPatch> ParsePatch(const std::string& body) {
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(body));
  const auto object = document.object();
  const bool is_complete = object.value("id").isString() &&
                           object.value("base_version").isDouble() &&
                           object.value("merge").isObject();
  if (!is_complete) {
    return Error{ResultCode::kInvalidPatch,
                 "a patch has id, base_version and merge"};
  }
  return ConfigPatch{object.value("id").toString().toStdString(),
                     object.value("base_version").toInteger(),
                     object.value("merge").toObject()};
}

}  // namespace

OperatorEndpoint::OperatorEndpoint(const Settings& settings,
                                   std::shared_ptr<BodyBudget> uploads,
                                   Hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {
  server_ = HttpServer::Builder()
                .Listen(settings.operators)
                .Uploads(std::move(uploads))
                .ErrorResponse(MakeInputErrorResponse)
                .Handler([this](const HttpRequest& request,
                                const Responder& responder) {
                  Handle(request, responder);
                })
                .Build();
}

bool OperatorEndpoint::Start() { return server_->Start(); }
void OperatorEndpoint::Stop() { server_->StopListening(); }

bool OperatorEndpoint::IsAuthorized(const HttpRequest& request) const {
  if (settings_.allow_anonymous) return true;
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = HeaderValue(request.headers, "Authorization");
  return value.starts_with(kScheme) &&
         Sha256Hex(value.substr(kScheme.size())) ==
             settings_.operator_token_sha256;
}

void OperatorEndpoint::Handle(const HttpRequest& request,
                              const Responder& responder) {
  struct Route {
    std::string_view method;
    std::string_view path;
    void (OperatorEndpoint::*handle)(const HttpRequest&, const Responder&);
  };
  static constexpr Route kRoutes[] = {
      {"GET", "/config", &OperatorEndpoint::GetConfig},
      {"POST", "/config/patch", &OperatorEndpoint::PostPatch},
      {"POST", "/config/validate", &OperatorEndpoint::PostValidate},
      {"GET", "/status", &OperatorEndpoint::GetStatus},
      {"GET", "/report", &OperatorEndpoint::GetReport},
      {"POST", "/drain", &OperatorEndpoint::PostDrain},
  };
  if (!IsAuthorized(request)) {
    return SendError(responder.get(), {ResultCode::kUnauthorized, ""});
  }
  for (const auto& route : kRoutes) {
    if (route.method == request.method && route.path == request.Path()) {
      return (this->*route.handle)(request, responder);
    }
  }
  SendError(responder.get(),
            {ResultCode::kMethodNotAllowed, "there is no such operator call"});
}

void OperatorEndpoint::GetConfig(const HttpRequest&,
                                 const Responder& responder) {
  const auto& current = hooks_.config->current();
  responder->Send(
      JsonAnswer({{"version", static_cast<qint64>(current.version())},
                  {"document", current.document()}}));
}

void OperatorEndpoint::PostPatch(const HttpRequest& request,
                                 const Responder& responder) {
  const auto patch = ParsePatch(request.body);
  if (const auto* error = std::get_if<Error>(&patch)) {
    return SendError(responder.get(), *error);
  }
  hooks_.config->Apply(
      std::get<ConfigPatch>(patch),
      [responder](const ConfigService::PatchResult& result) {
        if (result.error.code != ResultCode::kOk) {
          return SendError(responder.get(), result.error, result.version);
        }
        responder->Send(
            JsonAnswer({{"version", static_cast<qint64>(result.version)}}));
      });
}

void OperatorEndpoint::PostValidate(const HttpRequest& request,
                                    const Responder& responder) {
  const auto merge =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
  if (!merge.isObject()) {
    return SendError(responder.get(),
                     {ResultCode::kInvalidPatch, "the patch is no object"});
  }
  const auto& current = hooks_.config->current();
  const auto merged = MergePatch(current.document(), merge.object());
  const auto parsed = Capture(
      [&] { return Configuration::Parse(current.version() + 1, merged); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    return SendError(responder.get(), *error, current.version());
  }
  responder->Send(
      JsonAnswer({{"version", static_cast<qint64>(current.version())}}));
}

void OperatorEndpoint::GetStatus(const HttpRequest&,
                                 const Responder& responder) {
  responder->Send(JsonAnswer(hooks_.status()));
}

void OperatorEndpoint::GetReport(const HttpRequest&,
                                 const Responder& responder) {
  responder->Send(JsonAnswer(hooks_.report()));
}

void OperatorEndpoint::PostDrain(const HttpRequest&,
                                 const Responder& responder) {
  responder->Send(JsonAnswer({{"draining", true}}));
  hooks_.drain();
}

}  // namespace firmoor
