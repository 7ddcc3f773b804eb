#include "details/caller_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "serving/error_answer.h"
#include "serving/sse_parser.h"

namespace firmoor::details {
namespace {

constexpr int kOk = 200;
constexpr int kSeeOther = 303;
constexpr Duration kUnconfirmedRetryAfter{5'000};

}  // namespace

CallerList::CallerList(std::string request_id, const ModelRequest* model,
                       CallerFlowTotals* flows)
    : request_id_(std::move(request_id)), model_(model), flows_(flows) {}

void CallerList::Add(std::shared_ptr<HttpResponder> responder, bool stream,
                     std::size_t from) {
  callers_.push_back({std::move(responder), stream, false, from,
                      std::make_unique<CallerFlow>(flows_)});
}

void CallerList::StartStream(Caller* caller) const {
  if (caller->started) return;
  caller->started = true;
  caller->responder->StartStream(kOk, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-store"},
                                       {"Firmoor-Request-Id", request_id_}});
}

void CallerList::SendTokensTo(Caller* caller,
                              const std::vector<std::string>& tokens) const {
  if (!caller->stream || model_ == nullptr) return;
  while (caller->next < tokens.size()) {
    StartStream(caller);
    const auto& token = tokens[caller->next++];
    caller->responder->Write(
        FormatSseEvent(std::to_string(caller->next),
                       MakeTokenEvent(*model_, request_id_, token)));
  }
}

void CallerList::SendTokens(const std::vector<std::string>& tokens) {
  for (auto& caller : callers_) SendTokensTo(&caller, tokens);
}

void CallerList::FinishCaller(Caller* caller,
                              const std::vector<std::string>& tokens,
                              const FinalAnswer& answer) const {
  SendTokensTo(caller, tokens);
  const bool failed = !answer.failure_event.empty();
  if (!caller->stream || (failed && !caller->started)) {
    return caller->responder->Send(answer.http_answer);
  }
  StartStream(caller);
  caller->responder->Write(failed ? "event: error\n" +
                                        FormatSseEvent("", answer.failure_event)
                                  : FormatSseEvent("", kStreamEnd));
  caller->responder->FinishStream();
}

void CallerList::Finish(const std::vector<std::string>& tokens,
                        const FinalAnswer& answer) {
  for (auto& caller : std::exchange(callers_, {})) {
    FinishCaller(&caller, tokens, answer);
  }
}

void CallerList::RedirectAll() {
  const std::string location = "/v1/requests/" + request_id_;
  for (auto& caller : std::exchange(callers_, {})) {
    if (caller.started) {
      caller.responder->Write(
          "event: moved\n" +
          FormatSseEvent("", fmt::format(R"({{"location":"{}"}})", location)));
      caller.responder->FinishStream();
    } else {
      caller.responder->Send(
          {kSeeOther,
           {{"Location", location}, {"Firmoor-Request-Id", request_id_}},
           {}});
    }
  }
}

void CallerList::EndUnconfirmed() {
  const Failure failure{
      {ResultCode::kPeerUnreachable, "the hand-over was not confirmed"},
      RequestOutcome::kUnknown,
      kUnconfirmedRetryAfter};
  const auto answer = MakeErrorAnswer(failure, request_id_);
  Finish({}, {answer, answer.body});
}

void CallerList::RemoveDisconnected() {
  std::erase_if(callers_, [](const Caller& caller) {
    return !caller.responder->IsOpen();
  });
}

bool CallerList::IsPaused(TimePoint now) {
  bool is_paused = false;
  for (auto& caller : callers_) {
    caller.flow->Update(caller.responder->UnsentBytes(), now);
    is_paused = is_paused || caller.flow->is_paused();
  }
  return is_paused;
}

void CallerList::CutStalled(TimePoint now) {
  std::vector<std::shared_ptr<HttpResponder>> stalled;
  for (const auto& caller : callers_) {
    if (caller.flow->StalledFor(now) >= CallerFlow::kMaxStall) {
      stalled.push_back(caller.responder);
    }
  }
  // Each removes its caller from the list.
  for (const auto& responder : stalled) {
    ++flows_->stalled;
    responder->Discard();
  }
}

}  // namespace firmoor::details
