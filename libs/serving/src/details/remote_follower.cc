#include "details/remote_follower.h"

#include <fmt/format.h>

#include <utility>

#include "serving/error_answer.h"
#include "serving/model_request.h"
#include "serving/sse_parser.h"

namespace firmoor::details {
namespace {

constexpr int kPollMs = 100;
constexpr int kMaxMisses = 30;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

}  // namespace

HttpResponse MakeRunningAnswer(const std::string& id, int status) {
  return {status,
          {{"Content-Type", "application/json"},
           {"Location", "/v1/requests/" + id},
           {"Firmoor-Request-Id", id},
           {"Retry-After", "1"}},
          fmt::format(R"({{"id":"{}","state":"running"}})", id)};
}

RemoteFollower::RemoteFollower(Question question,
                               std::shared_ptr<HttpResponder> responder,
                               const DispatcherEnvironment* environment)
    : question_(std::move(question)),
      responder_(std::move(responder)),
      environment_(environment) {}

void RemoteFollower::Ask() {
  environment_->find_remote_request(
      question_.id, question_.from,
      [self = shared_from_this()](const RequestProgress& tail) {
        self->Take(tail);
      });
}

void RemoteFollower::NotFound() {
  // A request that is being handed over is nowhere for a moment.
  const bool again = started_ && ++misses_ < kMaxMisses;
  if (again) {
    QTimer::singleShot(kPollMs, [self = shared_from_this()] { self->Ask(); });
    return;
  }
  if (started_) return responder_->Abort();
  responder_->Send(MakeErrorAnswer(
      {{ResultCode::kUnknownRequest, ""}, RequestOutcome::kUnknown, {}},
      question_.id));
}

void RemoteFollower::Take(const RequestProgress& tail) {
  if (!responder_->IsOpen()) return;
  if (!tail.found || tail.workspace != question_.workspace) return NotFound();
  misses_ = 0;
  if (question_.stream) return TakeStream(tail);
  responder_->Send(tail.done ? tail.answer
                             : MakeRunningAnswer(question_.id, kAccepted));
}

void RemoteFollower::TakeStream(const RequestProgress& tail) {
  if (!started_) {
    started_ = true;
    responder_->StartStream(kOk, {{"Content-Type", "text/event-stream"},
                                  {"Firmoor-Request-Id", question_.id}});
  }
  ModelRequest shape;  // Only names the fields of the event.
  for (const auto& token : tail.tokens) {
    ++question_.from;
    responder_->Write(
        FormatSseEvent(std::to_string(question_.from),
                       MakeTokenEvent(shape, question_.id, token)));
  }
  if (!tail.done) {
    QTimer::singleShot(kPollMs, [self = shared_from_this()] { self->Ask(); });
    return;
  }
  const bool failed = tail.answer.status != kOk;
  responder_->Write(failed ? "event: error\n" +
                                 FormatSseEvent("", tail.answer.body)
                           : FormatSseEvent("", kStreamEnd));
  responder_->FinishStream();
}

}  // namespace firmoor::details
