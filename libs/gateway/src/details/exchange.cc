#include "details/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Callers disconnect by themselves at their deadline, perhaps a little later;
// the response is not cut off before they do.
constexpr Duration kDeadlineGrace{500};

Duration EffectiveCallerTimeout(const ForwardRequest& request,
                                const Route& route) {
  return request.caller_timeout
             ? std::min(*request.caller_timeout, route.timeout)
             : route.timeout;
}

/// Time after which a request fails that has no part of its response yet.
Duration RequestTimeout(const ForwardRequest& request, const Route& route) {
  const auto route_end = route.timeout + kRouteTimeoutGrace;
  if (!request.caller_timeout) return route_end;
  return std::min(*request.caller_timeout + kDeadlineGrace, route_end);
}

}  // namespace

Exchange::Exchange(GatewayContext* context, ForwardRequest request,
                   RequestAdmission admission,
                   std::shared_ptr<ResponseWriter> responder,
                   std::optional<Origin> origin)
    : context_(context),
      request_(std::move(request)),
      table_(context->table),
      admission_(admission),
      service_(ChooseService(*admission.route, request_.StreamId())),
      suspects_(SuspectsOf(
          {service_,
           admission.workspace == nullptr ? "" : admission.workspace->name,
           request_.method, request_.target, request_.body,
           request_.shared_chunk_digests})),
      responder_(std::move(responder)),
      started_at_(MonotonicNow()),
      ends_at_(started_at_ +
               EffectiveCallerTimeout(request_, *admission.route)),
      origin_(std::move(origin)),
      relay_(request_.last_event_id) {
  if (origin_) {
    tried_upstreams_ = origin_->request.tried_upstreams;
    version_ = origin_->request.version;
    counted_attempts_ = origin_->request.attempts;
    usage_counted_ = origin_->request.usage_counted;
  }
  timer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { OnTimeout(); });
}

void Exchange::Start() {
  timer_.start(RequestTimeout(request_, *admission_.route));
  responder_->OnCallerDisconnected([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  if (RejectQuarantined()) return;
  // The sender has charged the quota and counted the request.
  if (origin_) return TryNextUpstream();
  context_->BudgetOf(service_).OnRequest();
  if (IsStream() && request_.IsResumed()) return ResolveVersion();
  ChargeQuota(true);
}

void Exchange::Forward() {
  if (request_.prompt_tokens) {
    context_->prompt_demand.Add(service_, *request_.prompt_tokens,
                                MonotonicNow());
  }
  TryNextUpstream();
}

bool Exchange::CanVerifyKey() const {
  return admission_.workspace == nullptr ||
         context_->freshness.IsFresh(MonotonicNow());
}

HttpCallTimeouts Exchange::TimeoutsAt(TimePoint now) const {
  // Connecting takes a few ms within a region and 40 ms between regions; a
  // longer time means a lost packet or a dead upstream.
  constexpr Duration kConnectTimeout{400};
  // Time without a byte after which a repeatable request is retried elsewhere:
  // well above what a busy engine needs, and below the callers' timeouts.
  constexpr int kFirstByteTimeoutObjectives = 3;
  constexpr Duration kStreamIdleTimeout{1'500};
  // Later than the timer of the whole request, so that the latter decides.
  const auto left = std::max(ends_at_ - now, Duration(1)) + kDeadlineGrace;
  HttpCallTimeouts times{std::min(kConnectTimeout, left), left, left};
  if (!admission_.route->MayRepeat()) return times;
  times.first_byte =
      std::min(left, admission_.route->objective * kFirstByteTimeoutObjectives);
  if (admission_.route->kind == RequestKind::kStream) {
    times.idle = std::min(left, kStreamIdleTimeout);
  }
  return times;
}

void Exchange::Send(UpstreamEntry upstream,
                    const std::optional<KvCacheCopy>& copy) {
  const auto now = MonotonicNow();
  auto pick = MakePickRequest();
  pick.is_continuation = copy.has_value();
  attempt_ = {};
  attempt_.sent_at = now;
  attempt_.last_byte_at = now;
  attempt_.in_flight = context_->picker.InFlight(upstream.id);
  attempt_.ticket = context_->StartAttempt(upstream, pick, now);
  attempt_.prefill_tokens = attempt_.ticket.prefill_tokens;
  attempt_.upstream = std::move(upstream);
  EnsurePermit();
  tried_upstreams_.insert(attempt_.upstream.id);
  UpstreamCall call;
  call.upstream = attempt_.upstream.id;
  call.workspace =
      admission_.workspace == nullptr ? "" : admission_.workspace->name;
  call.time_left = std::max(ends_at_ - now, Duration(1));
  call.priority = PriorityOfAttempt();
  const auto* profile = table_->FindService(service_);
  call.to_engine = profile != nullptr && profile->engine.has_value();
  call.last_event_id = relay_.last_event_id();
  call.copy = copy;
  auto builder = HttpCall::Builder(
      attempt_.upstream.endpoint,
      context_->environment.dialect->EncodeRequest(request_, call));
  builder.Host(request_.host)
      .Timeouts(TimeoutsAt(now))
      .EndIfSilent([this] { return !move_call_ && CanGoOnElsewhere(); })
      .SendIf([this, moved = copy.has_value()] {
        attempt_.send_cancelled =
            attempt_.end || !CanVerifyKey() || (!moved && IsLeaving()) ||
            (version_ && WasReplaced(attempt_.upstream)) || !EnsurePermit();
        return !attempt_.send_cancelled;
      })
      .OnHead([this](int status, const HttpHeaders& headers) {
        OnHead(status, headers);
      })
      .OnBody([this](std::string_view bytes) { OnBody(bytes); })
      .OnEnd([this](HttpCallEnd end) { OnEnd(end); });
  if (admission_.route->MayRepeat()) builder.Pool(&context_->pool);
  attempt_.call = builder.Start();
}

bool Exchange::IsLeaving() const {
  const auto* entry = context_->catalog.Find(attempt_.upstream.id);
  return entry != nullptr && entry->leaving;
}

void Exchange::OnHead(int status, const HttpHeaders& headers) {
  if (attempt_.end) return;
  attempt_.head_at = MonotonicNow();
  attempt_.last_byte_at = *attempt_.head_at;
  unsent_attempts_ = 0;
  if (attempt_.call->IsOnReusedConnection()) {
    context_->links.OnContact(attempt_.upstream.id);
  } else {
    context_->links.OnConnected(attempt_.upstream.id, attempt_.sent_at);
  }
  attempt_.head =
      context_->environment.dialect->DecodeResponseHead(status, headers);
  const auto& answered = attempt_.head->request_id;
  attempt_.is_mismatched = !answered.empty() && answered != request_.id;
  if (attempt_.is_mismatched) attempt_.call->DisableReuse();
  context_->ApplyResponseHead(attempt_.upstream, *attempt_.head, request_.id);
  // Such a response may be of another upstream, or an earlier one.
  if (!attempt_.is_mismatched && !attempt_.head->wrong_upstream) {
    context_->quarantine.OnResponse(attempt_.upstream);
    context_->ApplyRateLimit(attempt_.upstream, *attempt_.head, request_.id);
    context_->ApplyBrittleness(attempt_.upstream, *attempt_.head, request_.id);
  }
  attempt_.is_event_stream = !attempt_.is_mismatched &&
                             admission_.route->kind == RequestKind::kStream &&
                             attempt_.head->IsSuccess();
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_.end) return;
  attempt_.last_byte_at = MonotonicNow();
  context_->links.OnContact(attempt_.upstream.id);
  if (!attempt_.is_event_stream) {
    attempt_.body += bytes;
    return;
  }
  const auto events = relay_.Feed(bytes);
  if (!events.empty()) OnEvents(events);
}

void Exchange::OnEvents(const std::string& events) {
  const auto now = MonotonicNow();
  context_->picker.OnFirstEvent(&attempt_.ticket, now);
  CountUsage();
  if (!version_) BindVersion();
  StartAnswer(attempt_.head->status, attempt_.head->headers, now);
  ForwardEvents(events, now);
}

void Exchange::StartAnswer(int status, const HttpHeaders& headers,
                           TimePoint now) {
  if (std::exchange(answer_started_, true)) return;
  first_event_ = now;
  last_event_ = now;
  if (origin_) origin_->writer->SetVersion(version_.value_or(""));
  responder_->StartStream(status, headers);
}

void Exchange::ForwardEvents(const std::string& events, TimePoint now) {
  longest_pause_ = std::max(longest_pause_, now - last_event_);
  last_event_ = now;
  responder_->Write(events);
}

void Exchange::CountUsage() {
  if (std::exchange(usage_counted_, true) || admission_.workspace == nullptr) {
    return;
  }
  const auto now = MonotonicNow();
  context_->ledger.Count(admission_.workspace->name,
                         context_->environment.true_time->At(now));
}

AttemptEnd Exchange::MakeAttemptEnd(HttpCallEnd end) const {
  AttemptEnd attempt_end;
  attempt_end.end = attempt_.is_mismatched ? HttpCallEnd::kMalformed : end;
  attempt_end.may_have_been_sent = attempt_.call->MayHaveBeenSent();
  if (end == HttpCallEnd::kComplete && attempt_.head &&
      !attempt_.is_mismatched) {
    attempt_end.declared_not_run = attempt_.head->declared_not_run;
    // Only events may follow those that the caller has.
    attempt_end.failed = attempt_.head->IsFailure() ||
                         (answer_started_ && !attempt_.is_event_stream);
  }
  // An engine that crashes at its first token has sent a head only.
  const bool may_be_cut =
      relay_.events() == 0 && attempt_.call->IsDelimitedByClose();
  attempt_end.stream_complete =
      !attempt_.is_event_stream || !(relay_.HasPartialEvent() || may_be_cut);
  return attempt_end;
}

AttemptContext Exchange::MakeAttemptContext(const AttemptEnd& end,
                                            TimePoint now) const {
  AttemptContext attempt_context;
  attempt_context.idempotent = admission_.route->MayRepeat();
  attempt_context.answer_started = answer_started_;
  attempt_context.resumable = admission_.route->is_resumable;
  attempt_context.attempts = counted_attempts_;
  const bool ran = may_have_run_ || OutcomeOf(end) != RequestOutcome::kNotRun;
  attempt_context.max_attempts =
      ran && !MayRunAgain() ? counted_attempts_
                            : std::max(1, admission_.route->max_upstreams);
  attempt_context.time_left = ends_at_ - now;
  // The retry that an earlier send was followed by is unused while nothing has
  // been sent since.
  const bool is_retry_left = !end.may_have_been_sent && sends_ > 0;
  attempt_context.retry_allowed =
      is_retry_left || context_->BudgetOf(service_).available() >= 1.0;
  attempt_context.earlier_unknown = may_have_run_;
  return attempt_context;
}

UpstreamOutcome Exchange::UpstreamOutcomeOf(const AttemptEnd& end) const {
  const bool wrong = attempt_.head && attempt_.head->wrong_upstream;
  if (wrong || attempt_.send_cancelled) return UpstreamOutcome::kNeutral;
  if (end.declared_not_run) return UpstreamOutcome::kRefused;
  switch (end.end) {
    case HttpCallEnd::kComplete:
      return end.failed ? UpstreamOutcome::kFailed : UpstreamOutcome::kSuccess;
    case HttpCallEnd::kNotConnected:
      return end.may_have_been_sent ? UpstreamOutcome::kNeutral
                                    : UpstreamOutcome::kUnreachable;
    case HttpCallEnd::kNoResponse:
    case HttpCallEnd::kTruncated:
    case HttpCallEnd::kMalformed:
    case HttpCallEnd::kTimedOut:
      return UpstreamOutcome::kFailed;
    case HttpCallEnd::kCancelled:
      return UpstreamOutcome::kNeutral;
  }
  return UpstreamOutcome::kNeutral;
}

void Exchange::OnEnd(HttpCallEnd end) {
  // An attempt may have been ended before its call has.
  if (finished_ || attempt_.end) return;
  if (move_call_ && end != HttpCallEnd::kComplete) {
    // Moving a request ends its stream; the response to the move decides
    // whether this is a failure.
    end_during_move_ = end;
    return;
  }
  move_call_.reset();
  ReturnUnusedPermit();
  const auto self = shared_from_this();
  const auto now = MonotonicNow();
  attempt_.end = end;
  if (end == HttpCallEnd::kTimedOut) {
    left_silent_ += fmt::format(" {}:{}", attempt_.upstream.id,
                                (now - attempt_.last_byte_at).count());
  }
  const auto attempt_end = MakeAttemptEnd(end);
  if (attempt_end.may_have_been_sent) {
    ++sends_;
    if (CountsAsAttempt()) ++counted_attempts_;
  }
  const bool is_rejected = attempt_end.declared_not_run &&
                           !attempt_.head->wrong_upstream &&
                           !attempt_.head->leaving;
  context_->EndAttempt(attempt_.upstream, &attempt_.ticket,
                       UpstreamOutcomeOf(attempt_end), is_rejected, now);
  RecordEvidence(attempt_end);
  RecordLinkEvidence(attempt_end);
  if (!attempt_end.may_have_been_sent) {
    ++unsent_attempts_;
    const bool is_unreached = !attempt_.send_cancelled;
    if (is_unreached) unreached_upstreams_.insert(attempt_.upstream.id);
  }
  const auto decision =
      DecideAttempt(attempt_end, MakeAttemptContext(attempt_end, now));
  const bool ran = OutcomeOf(attempt_end) != RequestOutcome::kNotRun;
  may_have_run_ = may_have_run_ || ran;
  // Usage counts a stream at its first event, or when it fails without one.
  const bool counts =
      admission_.route->kind != RequestKind::kStream || attempt_end.failed;
  if (ran && counts) CountUsage();
  if (decision.step != NextStep::kPassAnswer) LogAttempt(attempt_end, decision);
  if (caller_disconnected_) return Finish(decision.code, "caller-left");
  switch (decision.step) {
    case NextStep::kPassAnswer:
      return ForwardAnswer(decision);
    case NextStep::kRetryElsewhere:
    case NextStep::kResumeElsewhere:
      if (attempt_end.may_have_been_sent) {
        context_->BudgetOf(service_).TryTake();
      }
      relay_.DiscardPartialEvent();
      return TryNextUpstream();
    case NextStep::kFail:
      return FailRequest(decision);
  }
}

void Exchange::ForwardAnswer(const AttemptDecision&) {
  const auto& head = *attempt_.head;
  if (attempt_.is_event_stream) {
    if (!answer_started_) responder_->StartStream(head.status, head.headers);
    responder_->FinishStream();
  } else {
    responder_->Send({head.status, head.headers, attempt_.body});
  }
  Finish(ResultCode::kOk, head.IsSuccess() ? "answered" : "failure-passed");
}

void Exchange::FailRequest(const AttemptDecision& decision) {
  if (answer_started_) return AbortStream(decision.code);
  const bool not_run = decision.outcome == RequestOutcome::kNotRun;
  // Status 503 promises that the request did not run, so it must not be used
  // when the outcome is unknown.
  const auto code = not_run ? ResultCode::kUpstreamRefused
                    : InfoOf(decision.code).http_status == 503
                        ? ResultCode::kUpstreamOutcomeUnknown
                        : decision.code;
  Refuse(code, "", decision.outcome,
         not_run ? std::optional(RetryDelay()) : std::nullopt);
}

Duration Exchange::RetryDelay() const {
  return context_->RetryDelay(service_, request_.id, MonotonicNow());
}

void Exchange::AbortStream(ResultCode code) {
  LogCut("daemon", InfoOf(code).name);
  // Finish first: the closed connection is otherwise taken for a caller that
  // disconnected.
  Finish(code, "broken-off");
  responder_->Abort();
}

void Exchange::Refuse(ResultCode code, std::string message,
                      RequestOutcome outcome,
                      std::optional<Duration> retry_after) {
  if (answer_started_) return AbortStream(code);
  if (outcome != RequestOutcome::kNotRun) {
    const bool promises_not_run = InfoOf(code).http_status == 503;
    if (promises_not_run) code = ResultCode::kUpstreamOutcomeUnknown;
    retry_after = std::nullopt;
  }
  responder_->Send(MakeGatewayRefusal(
      {{code, std::move(message)}, outcome, retry_after}, request_.id));
  Finish(code, NameOf(outcome));
}

void Exchange::OnTimeout() {
  const auto self = shared_from_this();
  if (finished_) return;
  if (const auto remaining = RemainingStreamTime(MonotonicNow());
      remaining > Duration(0)) {
    timer_.start(remaining);
    return;
  }
  GiveUp(ResultCode::kUpstreamTimeout, ResultCode::kNoUpstream,
         "The time of the request is over");
}

void Exchange::OnStop() {
  const auto self = shared_from_this();
  if (finished_) return;
  GiveUp(ResultCode::kUpstreamOutcomeUnknown, ResultCode::kDraining,
         "The daemon stops");
}

void Exchange::GiveUp(ResultCode code, ResultCode code_if_not_run,
                      std::string message) {
  const bool sent = attempt_.call && attempt_.call->MayHaveBeenSent();
  const bool delegated = delegation_ && delegation_->stream->MayHaveBeenSent();
  const bool unknown = may_have_run_ || sent || delegated;
  context_->EndAttempt(attempt_.upstream, &attempt_.ticket,
                       UpstreamOutcome::kNeutral, false, MonotonicNow());
  if (sent && admission_.route->kind != RequestKind::kStream) CountUsage();
  Refuse(unknown ? code : code_if_not_run, std::move(message),
         unknown ? RequestOutcome::kUnknown : RequestOutcome::kNotRun,
         unknown ? std::nullopt : std::optional(RetryDelay()));
}

void Exchange::OnCallerDisconnected() {
  const auto self = shared_from_this();
  if (finished_) return;
  caller_disconnected_ = true;
  LogCut("caller", "left");
  const bool may_stop = admission_.route->kind != RequestKind::kNonIdempotent;
  const bool sent = (attempt_.call && attempt_.call->MayHaveBeenSent()) ||
                    (delegation_ && delegation_->stream->MayHaveBeenSent());
  // A request that must not run twice is left to complete.
  if (!may_stop && sent) return;
  context_->EndAttempt(attempt_.upstream, &attempt_.ticket,
                       UpstreamOutcome::kNeutral, false, MonotonicNow());
  Finish(ResultCode::kOk, "caller-left");
}

void Exchange::Finish(ResultCode code, std::string_view outcome) {
  if (std::exchange(finished_, true)) return;
  const auto now = MonotonicNow();
  timer_.stop();
  move_call_.reset();
  EndDelegation();
  ReturnUnusedPermit();
  LogRequest(code, outcome, now);
  RequestSample sample;
  sample.service = service_;
  sample.workspace =
      admission_.workspace == nullptr ? "" : admission_.workspace->name;
  sample.code = code;
  if (first_event_) sample.first_token = *first_event_ - started_at_;
  sample.total = now - started_at_;
  sample.attempts = sends_;
  sample.good = code == ResultCode::kOk;
  if (origin_) {
    context_->delegations.OnTakenEnded(origin_->request.request.body.size());
  } else {
    context_->environment.metrics->Record(sample, now);
  }
  // Deletes this object later, since a call or a connection of it may be on the
  // stack.
  const auto held = context_->exchanges.find(this);
  if (held == context_->exchanges.end()) return;
  QMetaObject::invokeMethod(
      &context_->event_context, [keep = held->second] {}, Qt::QueuedConnection);
  context_->exchanges.erase(held);
}

}  // namespace firmoor::details
