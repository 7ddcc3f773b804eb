#include "details/exchange.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// An upstream that has begun the next event goes on with the stream; another
// one that works on it for longer than 400 ms wastes its tokens.
constexpr Duration kMaxOverlap{300};

StreamEndBasis BasisOf(const UpstreamAttempt& attempt,
                       EndCredibility credibility) {
  if (attempt.HasNothingMore()) return StreamEndBasis::kOtherUpstream;
  if (credibility == EndCredibility::kShown) return StreamEndBasis::kFraming;
  return credibility == EndCredibility::kUnproven
             ? StreamEndBasis::kClose
             : StreamEndBasis::kEarlierStreams;
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
      responder_(std::make_shared<HeldResponseWriter>(std::move(responder))),
      started_at_(MonotonicNow()),
      ends_at_(started_at_ +
               EffectiveCallerTimeout(request_, *admission.route)),
      flow_(&context->caller_flows),
      origin_(std::move(origin)),
      race_(origin_ ? origin_->request.attempts : 0),
      tried_(origin_ ? origin_->request.tried_upstreams
                     : std::set<std::string>()),
      last_event_id_(request_.last_event_id) {
  if (origin_) {
    version_ = origin_->request.version;
    usage_counted_ = origin_->request.usage_counted;
  }
  timer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { OnTimeout(); });
  stall_timer_.setSingleShot(true);
  QObject::connect(&stall_timer_, &QTimer::timeout, &stall_timer_,
                   [this] { OnStallTimer(); });
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

void Exchange::Send(const UpstreamEntry& upstream,
                    const std::optional<KvCacheCopy>& copy) {
  const auto now = MonotonicNow();
  UpstreamAttempt::Plan plan;
  plan.upstream = upstream;
  plan.pick = MakePickRequest();
  plan.pick.is_continuation = copy.has_value();
  // Later than the timer of the whole request, so that the latter decides.
  plan.timeouts =
      AttemptTimeouts(*admission_.route,
                      std::max(ends_at_ - now, Duration(1)) + kDeadlineGrace);
  plan.is_stream = IsStream();
  plan.may_repeat = admission_.route->MayRepeat();
  plan.call.upstream = upstream.id;
  plan.call.workspace =
      admission_.workspace == nullptr ? "" : admission_.workspace->name;
  plan.call.time_left = std::max(ends_at_ - now, Duration(1));
  plan.call.priority = PriorityOfAttempt();
  const auto* profile = table_->FindService(service_);
  plan.call.to_engine = profile != nullptr && profile->engine.has_value();
  plan.call.last_event_id = last_event_id_;
  plan.call.copy = copy;
  plan.route = admission_.route->name;
  context_->rollouts.OnSend(
      service_, upstream.software_version,
      !origin_ && !std::exchange(counted_for_rollout_, true), now);
  tried_.Add(upstream.id);
  if (!copy) RecordStart();
  const auto attempt = std::make_shared<UpstreamAttempt>(context_, request_,
                                                         std::move(plan), this);
  attempts_.Add(attempt);
  attempt->Start(race_.Start(attempt->Counts()));
}

bool Exchange::MaySend(const UpstreamAttempt& attempt) {
  return !finished_ && CanVerifyKey() && !(version_ && attempt.WasReplaced()) &&
         context_->rollouts.MaySend(service_,
                                    attempt.upstream().software_version,
                                    version_.has_value(), MonotonicNow());
}

void Exchange::OnByte(const UpstreamAttempt& attempt) {
  const int number = attempt.number();
  race_.OnByte(number);
  if (attempt.head()) unsent_attempts_ = 0;
  const bool goes_on =
      answer_started_ && race_.in_flight() > 1 && attempt.HasBegunEvent();
  if (!goes_on) return;
  QTimer::singleShot(kMaxOverlap, &timer_, [this, number] {
    const auto writing = attempts_.Find(number);
    if (finished_ || !writing || !writing->HasBegunEvent()) return;
    CancelOvertaken(number, writing->upstream().id, race_.OnNextPart(number));
  });
}

void Exchange::OnEvents(const UpstreamAttempt& attempt,
                        const NewEvents& events) {
  // A comment does not show that the upstream goes on with the stream.
  if (finished_ || (events.count == 0 && race_.in_flight() > 1)) return;
  const auto self = shared_from_this();
  const bool is_new_writer =
      !writer_ || writer_->upstream != attempt.upstream();
  const bool is_new_run =
      is_new_writer || writer_->sent_at != attempt.sent_at();
  if (is_new_run && !sequence_.MayFollow(events.count, events.last_id)) {
    OnMoreFollows(attempt.upstream().id, MonotonicNow());
    return attempts_.Find(attempt.number())->End(HttpCallEnd::kMalformed);
  }
  CancelOvertaken(attempt.number(), attempt.upstream().id,
                  race_.OnNextPart(attempt.number()));
  CountUsage();
  writer_ = StreamWriter{attempt.upstream(), attempt.sent_at()};
  if (!version_) {
    BindVersion();
  } else if (is_new_writer) {
    RecordDoubt();
  }
  const auto now = MonotonicNow();
  StartAnswer(attempt.head()->status, attempt.head()->headers, now);
  ForwardEvents(events, attempt.upstream().id, now);
}

void Exchange::StartAnswer(int status, const HttpHeaders& headers,
                           TimePoint now) {
  if (std::exchange(answer_started_, true)) return;
  first_event_ = now;
  last_event_ = now;
  if (origin_) origin_->writer->SetVersion(version_.value_or(""));
  // Always with a marked end, so that a daemon that is killed says nothing.
  responder_->StartStream(status, headers);
}

void Exchange::ForwardEvents(const NewEvents& events, const std::string& source,
                             TimePoint now) {
  if (events.count > 0) OnMoreFollows(source, now);
  longest_pause_ = std::max(longest_pause_, now - last_event_);
  last_event_ = now;
  last_event_id_ = events.last_id;
  events_ += events.count;
  sequence_.Add(events.count, events.last_id);
  responder_->Write(events.bytes);
  UpdateFlow();
}

void Exchange::CountUsage() {
  if (std::exchange(usage_counted_, true) || admission_.workspace == nullptr) {
    return;
  }
  const auto now = MonotonicNow();
  context_->ledger.Count(admission_.workspace->name,
                         context_->environment.true_time->At(now));
}

void Exchange::OnEnd(const UpstreamAttempt& attempt, HttpCallEnd end) {
  if (finished_) return;
  const auto self = shared_from_this();
  const bool may_be_stopped = end == HttpCallEnd::kComplete &&
                              attempt.EndsWithConnection() &&
                              IsOrderedToStop(attempt);
  if (move_ && move_->attempt == attempt.number()) {
    // Moving a request ends its stream; the response to the move decides
    // whether this is a failure.
    if (end != HttpCallEnd::kComplete || attempt.EndsWithConnection()) {
      move_->end = end;
      return;
    }
    move_.reset();
  }
  HandleEnd(attempt, may_be_stopped ? HttpCallEnd::kTruncated : end);
}

void Exchange::HandleEnd(const UpstreamAttempt& attempt, HttpCallEnd end) {
  const auto now = MonotonicNow();
  const auto removed = attempts_.Remove(attempt.number());
  if (!removed) return;
  const auto attempt_end =
      attempt.DescribeEnd(end, answer_started_, events_, EarlierCloses());
  const bool seems_complete = end == HttpCallEnd::kComplete &&
                              attempt_end.credibility != EndCredibility::kShown;
  const bool is_doubted = seems_complete || attempt.WasFoundGone();
  doubt_ = is_doubted ? attempt.DoubtOfEnd() : EndDoubt::kNone;
  removed->Release(attempt.OutcomeFor(attempt_end),
                   attempt.WasRejected(attempt_end), now);
  if (attempt.RecordEvidence(attempt_end, suspects_)) ++crashed_attempts_;
  attempt.RecordLinkEvidence(attempt_end);
  if (OutcomeOf(attempt_end) != RequestOutcome::kNotRun) {
    tried_.OnRan(attempt.upstream().id);
  }
  if (!attempt_end.may_have_been_sent) {
    ++unsent_attempts_;
    if (!attempt.send_cancelled()) tried_.OnUnreached(attempt.upstream().id);
  }
  RecordCompletion(attempt, attempt_end, now);
  auto conditions = MakeConditions();
  const auto earlier = FindEarlierUpstream(attempt);
  conditions.may_ask_earlier = earlier.has_value();
  const auto decision =
      race_.OnEnd(attempt.number(), attempt_end, attempt.Counts(), conditions);
  // Usage counts a stream at its first event, or when it fails without one.
  const bool counts = !IsStream() || attempt_end.failed;
  const bool ran = OutcomeOf(attempt_end) != RequestOutcome::kNotRun;
  if (ran && counts) CountUsage();
  if (decision.step != RaceStep::kPassAnswer) {
    LogAttempt(attempt, attempt_end, decision, conditions);
  }
  if (caller_disconnected_) {
    return Finish(decision.attempt.code, "caller-left");
  }
  if (attempt_end.failed && ran && !answer_started_) {
    failed_answer_ = attempt.Answer();
  }
  switch (decision.step) {
    case RaceStep::kPassAnswer:
      CancelOvertaken(attempt.number(), attempt.upstream().id,
                      decision.overtaken);
      return ForwardAnswer(attempt, attempt_end);
    case RaceStep::kGoOn:
      ++context_->beside_counters.dropped;
      return StartBeside();
    case RaceStep::kTryNext:
      TakeRetry();
      if (!seems_complete || !earlier || HasFurtherUpstream(conditions)) {
        return TryNextUpstream();
      }
      asked_earlier_ = true;
      return Send(*earlier);
    case RaceStep::kFail:
      return FailRequest(decision.attempt);
  }
}

void Exchange::ForwardAnswer(const UpstreamAttempt& attempt,
                             const AttemptEnd& end) {
  const auto& head = *attempt.head();
  if (attempt.is_event_stream()) {
    if (!answer_started_) responder_->StartStream(head.status, head.headers);
    return FinishStream(BasisOf(attempt, end.credibility));
  }
  responder_->HoldUntilTaken(attempt.body_share());
  responder_->Send(attempt.Answer());
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

void Exchange::Refuse(ResultCode code, std::string message,
                      RequestOutcome outcome,
                      std::optional<Duration> retry_after) {
  if (answer_started_) return AbortStream(code);
  if (failed_answer_) {
    responder_->Send(*failed_answer_);
    return Finish(ResultCode::kOk, "failure-passed");
  }
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
  const auto remaining =
      started_at_ - MonotonicNow() +
      StreamTimeout(request_, *admission_.route, *context_->table);
  if (answer_started_ && remaining > Duration(0)) {
    return timer_.start(remaining);
  }
  may_await_end_ = false;
  GiveUp(ResultCode::kUpstreamTimeout, ResultCode::kNoUpstream,
         "The time of the request is over");
}

void Exchange::OnStop() {
  const auto self = shared_from_this();
  if (finished_) return;
  may_await_end_ = false;
  GiveUp(ResultCode::kUpstreamOutcomeUnknown, ResultCode::kDraining,
         "The daemon stops");
}

void Exchange::GiveUp(ResultCode code, ResultCode code_if_not_run,
                      std::string message) {
  const bool sent = attempts_.SentToUpstreams() > 0;
  const bool unknown = OutcomeSoFar() != RequestOutcome::kNotRun;
  if (sent && !IsStream()) CountUsage();
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
  // A request that must not run twice is left to complete.
  if (!may_stop && attempts_.IsSent()) return;
  Finish(ResultCode::kOk, "caller-left");
}

void Exchange::Finish(ResultCode code, std::string_view outcome) {
  if (std::exchange(finished_, true)) return;
  const auto now = MonotonicNow();
  timer_.stop();
  stall_timer_.stop();
  context_->end_waiters.erase(this);
  flow_.End();
  move_.reset();
  LogRequest(code, outcome, now);
  ReleaseAttempts();
  RequestSample sample;
  sample.service = service_;
  sample.workspace =
      admission_.workspace == nullptr ? "" : admission_.workspace->name;
  sample.code = code;
  if (first_event_) sample.first_token = *first_event_ - started_at_;
  sample.total = now - started_at_;
  sample.attempts = race_.sends();
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
