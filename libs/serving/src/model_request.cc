#include "serving/model_request.h"

#include <QJsonArray>
#include <QJsonDocument>

#include "serving/prefix_chunks.h"

namespace firmoor {
namespace {

constexpr int kMaxTokensLimit = 100'000;

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string ToJson(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string JoinMessages(const QJsonArray& messages) {
  std::string joined;
  for (const auto& value : messages) {
    const auto message = value.toObject();
    joined += message.value(QLatin1String("role")).toString().toStdString();
    joined += ": ";
    joined += message.value(QLatin1String("content")).toString().toStdString();
    joined += "\n";
  }
  return joined;
}

QJsonObject MakeChoice(const ModelRequest& request, const char* chat_field,
                       std::string_view text) {
  if (!request.chat) {
    return {{"index", 0}, {"text", ToQString(text)}};
  }
  const QJsonObject content{{"role", "assistant"},
                            {"content", ToQString(text)}};
  return {{"index", 0}, {QLatin1String(chat_field), content}};
}

QJsonObject MakeEnvelope(const ModelRequest& request,
                         std::string_view request_id,
                         const QJsonObject& choice) {
  return {{"id", ToQString(request_id)},
          {"object", request.chat ? "chat.completion" : "text_completion"},
          {"model", ToQString(request.service)},
          {"choices", QJsonArray{choice}}};
}

}  // namespace

Result<ModelRequest> ModelRequest::Parse(std::string_view path,
                                         std::string_view body) {
  const auto document = QJsonDocument::fromJson(
      QByteArray(body.data(), static_cast<qsizetype>(body.size())));
  if (!document.isObject()) {
    return Fail(ResultCode::kMalformedRequest, "the body is no JSON object");
  }
  ModelRequest request;
  request.body = document.object();
  request.chat = path == "/v1/chat/completions";
  const auto model = request.body.value(QLatin1String("model"));
  if (!model.isString()) {
    return Fail(ResultCode::kMalformedRequest, "model must be a string");
  }
  request.service = model.toString().toStdString();
  const auto prompt = request.body.value(QLatin1String("prompt"));
  const auto messages = request.body.value(QLatin1String("messages"));
  if (request.chat ? !messages.isArray() : !prompt.isString()) {
    return Fail(ResultCode::kMalformedRequest, request.chat
                                                   ? "messages must be an array"
                                                   : "prompt must be a string");
  }
  request.prompt = request.chat ? JoinMessages(messages.toArray())
                                : prompt.toString().toStdString();
  const auto stream = request.body.value(QLatin1String("stream"));
  if (!stream.isUndefined() && !stream.isBool()) {
    return Fail(ResultCode::kMalformedRequest, "stream must be a boolean");
  }
  request.stream = stream.toBool();
  const auto max_tokens = request.body.value(QLatin1String("max_tokens"));
  if (!max_tokens.isUndefined()) {
    const int count = max_tokens.toInt(-1);
    if (count < 1 || count > kMaxTokensLimit) {
      return Fail(ResultCode::kMalformedRequest,
                  "max_tokens must be from 1 to 100000");
    }
    request.max_tokens = static_cast<std::size_t>(count);
  }
  return request;
}

std::string MakeUpstreamBody(const ModelRequest& request,
                             const GeneratedOutput& generated,
                             std::string_view request_id, int priority,
                             std::string_view kv_source) {
  QJsonObject body = request.body;
  body["stream"] = true;
  body["max_tokens"] = static_cast<qint64>(request.max_tokens);
  body["request_id"] = ToQString(request_id);
  body["priority"] = priority;
  if (generated.tokens > 0) {
    body["resume"] =
        QJsonObject{{"text", ToQString(generated.text)},
                    {"tokens", static_cast<qint64>(generated.tokens)},
                    {"kv_source", ToQString(kv_source)}};
  }
  return ToJson(body);
}

Result<std::string> ParseTokenText(const std::string& event) {
  const auto object =
      QJsonDocument::fromJson(QByteArray::fromStdString(event)).object();
  const auto choice = object.value(QLatin1String("choices")).toArray().at(0);
  if (!choice.isObject()) {
    return Fail(ResultCode::kUpstreamIncomplete, "an event has no choice");
  }
  const auto fields = choice.toObject();
  const auto text = fields.value(QLatin1String("text"));
  if (text.isString()) return text.toString().toStdString();
  const auto delta = fields.value(QLatin1String("delta")).toObject();
  return delta.value(QLatin1String("content")).toString().toStdString();
}

std::string MakeTokenEvent(const ModelRequest& request,
                           std::string_view request_id, std::string_view text) {
  return ToJson(
      MakeEnvelope(request, request_id, MakeChoice(request, "delta", text)));
}

std::string MakeCompletion(const ModelRequest& request,
                           std::string_view request_id,
                           const GeneratedOutput& generated) {
  auto envelope = MakeEnvelope(request, request_id,
                               MakeChoice(request, "message", generated.text));
  envelope["usage"] = QJsonObject{
      {"prompt_tokens", static_cast<qint64>(EstimateTokens(request.prompt))},
      {"completion_tokens", static_cast<qint64>(generated.tokens)}};
  return ToJson(envelope);
}

}  // namespace firmoor
