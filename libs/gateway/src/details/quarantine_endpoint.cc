#include "details/quarantine_endpoint.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <string>

#include "base/text.h"
#include "serving/error_answer.h"

namespace firmoor::details {
namespace {

HttpResponse JsonAnswer(const QJsonObject& body) {
  return {200,
          {{"Content-Type", "application/json"}},
          QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
}

HttpResponse ErrorAnswer(ResultCode code, std::string message) {
  return MakeErrorAnswer(
      {{code, std::move(message)}, RequestOutcome::kNotRun, std::nullopt}, "");
}

QJsonObject ToJson(const Verdict& verdict) {
  QJsonArray hashes;
  for (const auto& suspect : verdict.members) {
    hashes.append(Text(suspect.hash));
  }
  QJsonArray upstreams;
  for (const auto& id : verdict.upstreams) upstreams.append(Text(id));
  return {{"kind", Text(NameOf(verdict.members.begin()->kind))},
          {"hashes", hashes},
          {"crashes", static_cast<qint64>(verdict.crashes)},
          {"upstreams", upstreams},
          {"age_ms", static_cast<qint64>(verdict.age.count())}};
}

bool IsOwnVm(std::string_view caller, std::string_view own_address) {
  const auto address = caller.substr(0, caller.rfind(':'));
  return address.starts_with("127.") || address == own_address;
}

}  // namespace

HttpResponse AnswerQuarantine(Gateway* gateway, const HttpRequest& request,
                              std::string_view caller_address,
                              std::string_view own_address) {
  const auto action = request.Path().substr(kQuarantinePath.size());
  if (action.empty() && request.method == "GET") {
    QJsonArray verdicts;
    for (const auto& verdict : gateway->Verdicts()) {
      verdicts.append(ToJson(verdict));
    }
    return JsonAnswer({{"verdicts", verdicts}});
  }
  if (action != "/lift" || request.method != "POST") {
    return ErrorAnswer(ResultCode::kMethodNotAllowed, "");
  }
  if (!IsOwnVm(caller_address, own_address)) {
    return ErrorAnswer(ResultCode::kUnauthorized,
                       "Verdicts are lifted from a daemon's own VM only");
  }
  const auto body =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  if (!gateway->LiftVerdict(body["hash"].toString().toStdString())) {
    return ErrorAnswer(ResultCode::kUnknownRequest,
                       "No verdict is about this hash");
  }
  return JsonAnswer({{"lifted", body["hash"]}});
}

}  // namespace firmoor::details
