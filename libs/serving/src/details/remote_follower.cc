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
// Longer than daemons stand still on busy machines, short for a caller.
constexpr Duration kMaxUnansweredWait{3'000};
constexpr Duration kUnansweredRetryAfter{1'000};
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

RemoteFollower::RemoteFollower(Query query,
                               std::shared_ptr<HttpResponder> responder,
                               const DispatcherEnvironment* environment)
    : query_(std::move(query)),
      responder_(std::move(responder)),
      environment_(environment) {}

void RemoteFollower::Poll() {
  environment_->find_remote_request(
      query_.id, query_.from,
      [self = shared_from_this()](const RequestProgress& progress) {
        self->OnProgress(progress);
      });
}

bool RemoteFollower::MayFindLater(bool unanswered) {
  const auto now = MonotonicNow();
  if (started_ && unanswered && answer_due_) {
    return now < *answer_due_ + kMaxUnansweredWait;
  }
  // No daemon reports a request while it is being handed over.
  if (started_) return ++misses_ < kMaxMisses;
  if (!unanswered) return false;
  if (!first_unanswered_) first_unanswered_ = now;
  return now - *first_unanswered_ < kMaxUnansweredWait;
}

void RemoteFollower::NotFound(bool unanswered) {
  if (MayFindLater(unanswered)) {
    QTimer::singleShot(kPollMs, [self = shared_from_this()] { self->Poll(); });
    return;
  }
  if (started_) return responder_->Abort();
  Failure failure{{ResultCode::kUnknownRequest, ""},
                  RequestOutcome::kUnknown,
                  std::nullopt};
  if (unanswered) {
    failure.error = {ResultCode::kPeerUnreachable,
                     "A daemon that may hold the request does not answer."};
    failure.retry_after = kUnansweredRetryAfter;
  }
  responder_->Send(MakeErrorAnswer(failure, query_.id));
}

void RemoteFollower::OnProgress(const RequestProgress& progress) {
  if (!responder_->IsOpen()) return;
  if (!progress.found || progress.workspace != query_.workspace) {
    return NotFound(!progress.found && progress.unanswered);
  }
  misses_ = 0;
  if (progress.time_left) answer_due_ = MonotonicNow() + *progress.time_left;
  if (query_.stream) return SendProgress(progress);
  responder_->Send(progress.done ? progress.answer
                                 : MakeRunningAnswer(query_.id, kAccepted));
}

void RemoteFollower::SendProgress(const RequestProgress& progress) {
  if (!started_) {
    started_ = true;
    responder_->StartStream(kOk, {{"Content-Type", "text/event-stream"},
                                  {"Firmoor-Request-Id", query_.id}});
  }
  ModelRequest shape;  // Only selects the format of the event.
  for (const auto& token : progress.tokens) {
    ++query_.from;
    responder_->Write(FormatSseEvent(std::to_string(query_.from),
                                     MakeTokenEvent(shape, query_.id, token)));
  }
  if (!progress.done) {
    QTimer::singleShot(kPollMs, [self = shared_from_this()] { self->Poll(); });
    return;
  }
  const bool failed = progress.answer.status != kOk;
  responder_->Write(failed ? "event: error\n" +
                                 FormatSseEvent("", progress.answer.body)
                           : FormatSseEvent("", kStreamEnd));
  responder_->FinishStream();
}

}  // namespace firmoor::details
