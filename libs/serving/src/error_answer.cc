#include "serving/error_answer.h"

#include <QJsonDocument>
#include <QJsonObject>

#include "base/text.h"

namespace firmoor {
namespace {

constexpr std::int64_t kMsPerSecond = 1'000;
constexpr int kPayloadTooLarge = 413;
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
// Uploads that stand still give way within this time.
constexpr Duration kMemoryRetryDelay{1'000};

}  // namespace

std::string FailureJson(const Failure& failure, std::string_view request_id) {
  const auto& info = InfoOf(failure.error.code);
  const QJsonObject error{
      {"code", static_cast<int>(failure.error.code)},
      {"name", Text(info.name)},
      {"message", Text(failure.error.message.empty() ? info.meaning
                                                     : failure.error.message)},
      {"outcome", Text(NameOf(failure.outcome))},
      {"request_id", Text(request_id)}};
  return QJsonDocument(QJsonObject{{"error", error}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

HttpResponse MakeErrorAnswer(const Failure& failure,
                             std::string_view request_id) {
  HttpResponse answer;
  answer.status = InfoOf(failure.error.code).http_status;
  answer.headers = {
      {"Content-Type", "application/json"},
      {"Firmoor-Code", std::to_string(static_cast<int>(failure.error.code))},
      {"Firmoor-Outcome", std::string(NameOf(failure.outcome))},
      {"Firmoor-Request-Id", std::string(request_id)}};
  if (failure.retry_after) {
    const auto seconds =
        (failure.retry_after->count() + kMsPerSecond - 1) / kMsPerSecond;
    answer.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  answer.body = FailureJson(failure, request_id);
  return answer;
}

HttpResponse MakeInputErrorResponse(int status) {
  Failure failure;
  failure.error.code = ResultCode::kMalformedRequest;
  if (status == kPayloadTooLarge) failure.error.code = ResultCode::kTooLarge;
  if (status == kRequestTimeout) {
    failure.error.code = ResultCode::kRequestTimeout;
  }
  if (status == kServiceUnavailable) {
    failure.error = {ResultCode::kOverloaded,
                     "The memory for requests is used"};
    failure.retry_after = kMemoryRetryDelay;
  }
  return MakeErrorAnswer(failure, "");
}

}  // namespace firmoor
