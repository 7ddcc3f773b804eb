#include "details/job.h"

#include <fmt/format.h>

#include <QTimer>
#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "serving/prefix_chunks.h"

namespace firmoor::details {
namespace {

constexpr int kOk = 200;
constexpr int kSeeOther = 303;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kClaimPollMs = 150;
constexpr Duration kClaimPollLimit{3'000};
constexpr Duration kNoUpstreamRetryAfter{1'000};
constexpr Duration kStoreAwayRetryAfter{2'000};
constexpr Duration kUnknownRetryAfter{5'000};
// Between the tries of an accepted asynchronous request.
constexpr Duration kFirstPause{500};
constexpr Duration kMaxPause{10'000};
constexpr int kMaxPauseDoublings = 5;
constexpr int kSlowCallerPollMs = 20;
constexpr std::size_t kSlowCallerBytes = 256 * 1024;
// Added to the priority that an upstream sees.
constexpr int kBelowShareBoost = 1;
constexpr const char* kNotRunHeader = "Not-Run";

/// Headers that belong to the exchange between caller and firmoor.
bool IsOwnHeader(std::string_view name) {
  return EqualsIgnoreCase(name, "authorization") ||
         EqualsIgnoreCase(name, "prefer") ||
         EqualsIgnoreCase(name, "firmoor-deadline-ms") ||
         EqualsIgnoreCase(name, "accept-encoding");
}

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const auto& part : parts) joined += part;
  return joined;
}

}  // namespace

Job::Job(JobSpec spec, ServiceRuntime* runtime, ServingContext* context)
    : spec_(std::move(spec)), runtime_(runtime), context_(context) {
  timer_.setSingleShot(true);
  if (!spec_.model) return;
  route_.chunks = PrefixChunks(spec_.model->prompt);
  route_.prompt_tokens = EstimateTokens(spec_.model->prompt);
}

Job::~Job() = default;

AdmissionRequest Job::AskAdmission() const {
  AdmissionRequest request;
  request.id = spec_.number;
  request.workspace = spec_.workspace.name;
  request.weight = spec_.workspace.weight;
  request.priority = spec_.traits.priority + spec_.workspace.priority;
  request.max_in_flight = spec_.workspace.max_in_flight;
  request.deadline = spec_.deadline;
  if (spec_.model) {
    request.cost =
        static_cast<double>(route_.prompt_tokens + spec_.model->max_tokens);
  }
  return request;
}

Duration Job::TimeLeft() const { return spec_.deadline - MonotonicNow(); }

void Job::Run(bool boost) {
  boost_ = boost ? kBelowShareBoost : 0;
  if (spec_.claim && !claim_held_) return AskClaim();
  Send();
}

void Job::Refuse(const Refusal& refusal) {
  Fail(refusal.code,
       earlier_unknown_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun,
       refusal.retry_after);
}

void Job::CheckDeadline(TimePoint now) {
  if (now < spec_.deadline || IsDone() || WasDetached()) return;
  if (phase_ == Phase::kSending && call_) {
    call_->Cancel();
  } else if (phase_ == Phase::kClaiming) {
    Fail(ResultCode::kDeadlineExceeded, RequestOutcome::kNotRun);
  }
}

void Job::AskClaim() {
  phase_ = Phase::kClaiming;
  if (claim_waits_until_ == TimePoint()) {
    claim_waits_until_ =
        std::min(spec_.deadline, MonotonicNow() + kClaimPollLimit);
  }
  auto wanted = *spec_.claim;
  wanted.changed_ms = WallClockMs();
  context_->environment.claims->Claim(
      wanted, [weak = weak_from_this()](const ClaimBatcher::Decided& decided) {
        if (const auto self = weak.lock()) self->OnClaim(decided);
      });
}

void Job::OnClaim(const ClaimBatcher::Decided& decided) {
  const bool granted = decided.verdict == ClaimVerdict::kGranted;
  if (phase_ != Phase::kClaiming) {
    // Given up meanwhile: nothing was sent, so the key is free again.
    claim_held_ = granted;
    if (granted) RecordClaim(RequestOutcome::kNotRun);
    return;
  }
  switch (decided.verdict) {
    case ClaimVerdict::kGranted:
      claim_held_ = true;
      if (TimeLeft() <= Duration(0)) {
        return Fail(ResultCode::kDeadlineExceeded, RequestOutcome::kNotRun);
      }
      return Send();
    case ClaimVerdict::kReplay:
      if (!decided.claim.answer_kept) {
        return Fail(ResultCode::kAnswerNotKept, RequestOutcome::kRan);
      }
      return Finish({decided.claim.status,
                     {{"Content-Type", decided.claim.content_type},
                      {"Firmoor-Replayed", "true"}},
                     decided.claim.answer},
                    ResultCode::kOk, RequestOutcome::kRan);
    case ClaimVerdict::kInProgress:
      return OnClaimHeld(decided.claim);
    case ClaimVerdict::kUnknown:
      return Fail(ResultCode::kOutcomeUnknown, RequestOutcome::kUnknown);
    case ClaimVerdict::kKeyReused:
      return Fail(ResultCode::kKeyReused, RequestOutcome::kNotRun);
    case ClaimVerdict::kStoreAway:
      if (runtime_->service.deduplicates_keys) return Send();
      return Fail(ResultCode::kClaimStoreAway, RequestOutcome::kNotRun,
                  kStoreAwayRetryAfter);
  }
}

void Job::OnClaimHeld(const Claim& holder) {
  if (!context_->is_owner_live(holder)) {
    return Fail(ResultCode::kOutcomeUnknown, RequestOutcome::kUnknown,
                kUnknownRetryAfter);
  }
  if (MonotonicNow() + Duration(kClaimPollMs) > claim_waits_until_) {
    return Fail(ResultCode::kKeyInProgress, RequestOutcome::kUnknown,
                kNoUpstreamRetryAfter);
  }
  QTimer::singleShot(kClaimPollMs, &timer_, [this] {
    if (phase_ == Phase::kClaiming) AskClaim();
  });
}

void Job::Send() {
  const auto now = MonotonicNow();
  phase_ = Phase::kSending;
  route_.may_cross_region = context_->link.IsOpen(now);
  auto choice = runtime_->router.Pick(route_, now);
  if (!choice && !route_.exclude.empty()) {
    route_.exclude.clear();
    choice = runtime_->router.Pick(route_, now);
  }
  const Vm* vm = choice ? context_->upstreams.Find(choice->id) : nullptr;
  if (vm == nullptr) {
    if (TryAgainLater()) return;
    return Fail(
        ResultCode::kNoUpstream,
        earlier_unknown_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun,
        kNoUpstreamRetryAfter);
  }
  context_->upstreams.CheckSend(vm->id, now);
  ticket_ = runtime_->router.OnDispatch(vm->id, route_, now);
  upstream_ = vm->id;
  distance_ = choice->distance;
  sent_at_ = now;
  ++attempts_;
  first_byte_seen_ = false;
  plain_answer_ = {};
  attempt_ = {};
  Trace("send",
        {{"upstream", QString::fromStdString(upstream_)},
         {"attempt", attempts_},
         {"matched_chunks", static_cast<qint64>(choice->matched_chunks)}});
  if (distance_ == Router::Distance::kRemote) {
    context_->link.Spend(static_cast<std::int64_t>(spec_.request.body.size()),
                         now);
  }
  if (spec_.model) {
    SendModel(*vm);
  } else {
    SendPlain(*vm);
  }
}

HttpRequest Job::UpstreamRequest() const {
  HttpRequest request{spec_.request.method, spec_.upstream_target, {}, {}};
  for (const auto& header : spec_.request.headers) {
    if (!IsOwnHeader(header.name)) request.headers.push_back(header);
  }
  request.headers.push_back({"Firmoor-Request-Id", spec_.id});
  return request;
}

HttpCallTimes Job::Times() const {
  HttpCallTimes times;
  times.connect = Duration(1'000);
  const auto left = std::max(TimeLeft(), Duration(1));
  const auto stall = std::min(runtime_->service.stall_time, left);
  times.first_byte = spec_.traits.idempotent ? stall : left;
  times.idle = stall;
  return times;
}

void Job::SendPlain(const Vm& vm) {
  auto request = UpstreamRequest();
  request.body = spec_.request.body;
  call_ = HttpCall::Builder(vm.endpoint, std::move(request))
              .Times(Times())
              .Pool(spec_.traits.idempotent ? &context_->pool : nullptr)
              .OnHead([this](int status, const HttpHeaders& headers) {
                OnFirstByte();
                plain_answer_.status = status;
                plain_answer_.headers = headers;
                attempt_.declared_not_run =
                    !HeaderValue(headers, kNotRunHeader).empty();
              })
              .OnBody([this](std::string_view bytes) {
                plain_answer_.body += bytes;
              })
              .OnEnd([this](HttpCallEnd end) { OnAttemptEnd(end); })
              .Start();
}

void Job::SendModel(const Vm& vm) {
  auto request = UpstreamRequest();
  std::erase_if(request.headers, [](const HttpHeader& header) {
    return EqualsIgnoreCase(header.name, "last-event-id");
  });
  request.body = UpstreamBody(
      *spec_.model, {Join(tokens_), tokens_.size()}, spec_.id,
      spec_.traits.priority + spec_.workspace.priority + boost_, kv_source_);
  sse_ = SseParser();
  attempt_.stream_complete = false;
  call_ = HttpCall::Builder(vm.endpoint, std::move(request))
              .Times(Times())
              .Pool(&context_->pool)
              .OnHead([this](int status, const HttpHeaders& headers) {
                OnModelHead(status, headers);
              })
              .OnBody([this](std::string_view bytes) { OnModelBody(bytes); })
              .OnEnd([this](HttpCallEnd end) { OnAttemptEnd(end); })
              .Start();
}

void Job::OnModelHead(int status, const HttpHeaders& headers) {
  plain_answer_.status = status;
  plain_answer_.headers = headers;
  attempt_.declared_not_run = !HeaderValue(headers, kNotRunHeader).empty();
  attempt_.overloaded = status == kTooManyRequests || status == kUnavailable;
}

void Job::OnModelBody(std::string_view bytes) {
  if (distance_ == Router::Distance::kRemote) {
    context_->link.Spend(static_cast<std::int64_t>(bytes.size()),
                         MonotonicNow());
  }
  if (plain_answer_.status != kOk) {
    plain_answer_.body += bytes;
    return;
  }
  for (auto& event : sse_.Feed(bytes)) {
    if (event == kStreamEnd) {
      attempt_.stream_complete = true;
      continue;
    }
    auto text = Capture([&] { return TokenText(event); });
    if (auto* token = std::get_if<std::string>(&text)) {
      OnToken(std::move(*token));
    }
  }
  if (sse_.overflowed() && call_) return call_->Cancel();
  FeedAll();
  PauseForSlowCallers();
}

void Job::OnFirstByte() {
  if (first_byte_seen_) return;
  first_byte_seen_ = true;
  const auto now = MonotonicNow();
  const auto after = now - sent_at_;
  if (!first_token_) first_token_ = now - spec_.accepted_at;
  runtime_->router.OnFirstToken(&ticket_, after,
                                runtime_->service.first_token_target, now);
}

void Job::OnToken(std::string text) {
  const auto now = MonotonicNow();
  OnFirstByte();
  if (!tokens_.empty()) {
    context_->environment.metrics->RecordTokenGap(
        runtime_->service.name, spec_.workspace.name, now - last_token_at_);
  }
  last_token_at_ = now;
  tokens_.push_back(std::move(text));
}

void Job::PauseForSlowCallers() {
  const bool slow =
      std::any_of(waiters_.begin(), waiters_.end(), [](const Waiter& waiter) {
        return waiter.responder->UnsentBytes() > kSlowCallerBytes;
      });
  if (!call_) return;
  call_->SetPaused(slow);
  if (!slow) return;
  QTimer::singleShot(kSlowCallerPollMs, &timer_,
                     [this] { PauseForSlowCallers(); });
}

void Job::OnAttemptEnd(HttpCallEnd end) {
  const auto self = shared_from_this();
  attempt_.end = end;
  attempt_.may_have_left = call_ && call_->MayHaveLeft();
  // Deleted later: this runs inside the call's own handler.
  QMetaObject::invokeMethod(
      &context_->event_loop,
      [call = std::shared_ptr<HttpCall>(std::move(call_))] {},
      Qt::QueuedConnection);
  EndAttempt(attempt_);
}

void Job::EndAttempt(const AttemptEnd& end) {
  const auto now = MonotonicNow();
  runtime_->router.OnEnd(&ticket_);
  const auto verdict = DecideWithBudget(end);
  const bool answered = verdict.step == NextStep::kPassAnswer;
  if (answered) {
    runtime_->router.OnSuccess(upstream_);
  } else if (end.end != HttpCallEnd::kCancelled) {
    runtime_->router.OnFailure(upstream_, now);
    if (const auto* vm = context_->upstreams.Find(upstream_)) {
      context_->pool.Forget(vm->endpoint);
      kv_source_ = vm->endpoint.ToString();
    }
  }
  TraceEnd(end, verdict);
  if (OutcomeOf(end) != RequestOutcome::kNotRun) earlier_unknown_ = !answered;
  switch (verdict.step) {
    case NextStep::kPassAnswer:
      if (spec_.model && plain_answer_.status == kOk) {
        plain_answer_ = {kOk,
                         {{"Content-Type", "application/json"}},
                         WholeAnswer(*spec_.model, spec_.id,
                                     {Join(tokens_), tokens_.size()})};
      }
      return Finish(std::move(plain_answer_), ResultCode::kOk,
                    RequestOutcome::kRan);
    case NextStep::kRetryElsewhere:
      return TryAgain(false);
    case NextStep::kResumeElsewhere:
      return TryAgain(true);
    case NextStep::kFail:
      if (TryAgainLater()) return;
      return Fail(verdict.code, verdict.outcome,
                  verdict.outcome == RequestOutcome::kNotRun
                      ? std::optional(kNoUpstreamRetryAfter)
                      : std::nullopt);
  }
}

void Job::TraceEnd(const AttemptEnd& end, const AttemptVerdict& verdict) const {
  if (!context_->environment.trace) return;
  const auto context =
      ContextFor(verdict.code != ResultCode::kRetryBudgetSpent);
  Trace("end", {{"upstream", QString::fromStdString(upstream_)},
                {"end", static_cast<int>(end.end)},
                {"may_have_left", end.may_have_left},
                {"declared_not_run", end.declared_not_run},
                {"stream_complete", end.stream_complete},
                {"overloaded", end.overloaded},
                {"idempotent", context.idempotent},
                {"answer_started", context.answer_started},
                {"resumable", context.resumable},
                {"attempts", context.attempts},
                {"time_left", static_cast<qint64>(context.time_left.count())},
                {"retry_allowed", context.retry_allowed},
                {"earlier_unknown", context.earlier_unknown},
                {"step", static_cast<int>(verdict.step)},
                {"code", static_cast<int>(verdict.code)},
                {"outcome", static_cast<int>(verdict.outcome)}});
}

AttemptContext Job::ContextFor(bool retry_allowed) const {
  AttemptContext context;
  context.idempotent = spec_.traits.idempotent;
  context.answer_started = !tokens_.empty();
  context.resumable = spec_.model.has_value();
  context.attempts = attempts_;
  context.time_left = TimeLeft();
  context.retry_allowed = retry_allowed;
  context.earlier_unknown = earlier_unknown_;
  return context;
}

AttemptVerdict Job::DecideWithBudget(const AttemptEnd& end) {
  const auto verdict = DecideAttempt(end, ContextFor(true));
  const bool again = verdict.step == NextStep::kRetryElsewhere ||
                     verdict.step == NextStep::kResumeElsewhere;
  if (!again || runtime_->retries.TryTake()) return verdict;
  return DecideAttempt(end, ContextFor(false));
}

void Job::TryAgain(bool resume) {
  route_.exclude.insert(upstream_);
  if (resume) recomputed_tokens_ += tokens_.size();
  QTimer::singleShot(0, &timer_, [this] {
    if (phase_ == Phase::kSending) Send();
  });
}

void Job::Attach(std::shared_ptr<HttpResponder> responder, bool stream,
                 std::size_t from) {
  responder->OnCallerLeft([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerLeft();
  });
  waiters_.push_back({std::move(responder), stream, false, from});
  auto& waiter = waiters_.back();
  Feed(&waiter);
  if (IsDone()) {
    FinishWaiter(&waiter);
    waiters_.pop_back();
  }
}

void Job::FeedAll() {
  for (auto& waiter : waiters_) Feed(&waiter);
}

void Job::Feed(Waiter* waiter) {
  if (!waiter->stream || !spec_.model) return;
  while (waiter->next < tokens_.size()) {
    if (!waiter->started) {
      waiter->responder->StartStream(kOk,
                                     {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-store"},
                                      {"Firmoor-Request-Id", spec_.id}});
      waiter->started = true;
    }
    const auto& token = tokens_[waiter->next++];
    waiter->responder->Write(
        FormatSseEvent(std::to_string(waiter->next),
                       TokenEvent(*spec_.model, spec_.id, token)));
  }
}

void Job::FinishWaiter(Waiter* waiter) {
  Feed(waiter);
  const bool failed = !failure_event_.empty();
  if (!waiter->stream || (failed && !waiter->started)) {
    return waiter->responder->Send(answer_);
  }
  if (!waiter->started) {
    waiter->responder->StartStream(kOk, {{"Content-Type", "text/event-stream"},
                                         {"Firmoor-Request-Id", spec_.id}});
  }
  waiter->responder->Write(failed ? "event: error\n" +
                                        FormatSseEvent("", failure_event_)
                                  : FormatSseEvent("", kStreamEnd));
  waiter->responder->FinishStream();
}

void Job::OnCallerLeft() {
  std::erase_if(waiters_, [](const Waiter& waiter) {
    return !waiter.responder->IsOpen();
  });
  const bool wanted =
      !waiters_.empty() || spec_.async || !spec_.traits.idempotent;
  if (wanted || IsDone() || WasDetached()) return;
  Trace("caller-left", {});
  StopAttempt();
  phase_ = Phase::kDone;
  ended_at_ = MonotonicNow();
  context_->on_ended(this);
}

bool Job::TryAgainLater() {
  const auto pause = std::min(
      kFirstPause * (1 << std::min(pauses_, kMaxPauseDoublings)), kMaxPause);
  const bool may_repeat = spec_.async && spec_.traits.idempotent;
  if (!may_repeat || TimeLeft() < pause + kLeastTimeForAttempt) return false;
  ++pauses_;
  attempts_ = 0;
  route_.exclude.clear();
  QTimer::singleShot(pause, &timer_, [this] {
    if (phase_ == Phase::kSending) Send();
  });
  return true;
}

void Job::StopAttempt() {
  if (!call_) return;
  runtime_->router.OnEnd(&ticket_);
  call_.reset();
}

void Job::Fail(ResultCode code, RequestOutcome outcome,
               std::optional<Duration> retry_after, std::string message) {
  const Failure failure{{code, std::move(message)}, outcome, retry_after};
  failure_event_ = FailureJson(failure, spec_.id);
  Finish(MakeErrorAnswer(failure, spec_.id), code, outcome);
}

void Job::Finish(HttpAnswer answer, ResultCode code, RequestOutcome outcome) {
  FIRMOOR_INVARIANT(!IsDone() && !WasDetached(),
                    "a request gets one final answer");
  const auto self = shared_from_this();
  phase_ = Phase::kDone;
  ended_at_ = MonotonicNow();
  answer_ = std::move(answer);
  if (HeaderValue(answer_.headers, "Firmoor-Request-Id").empty()) {
    answer_.headers.push_back({"Firmoor-Request-Id", spec_.id});
  }
  RecordClaim(outcome);
  RecordMetrics(code);
  Trace("done", {{"code", static_cast<int>(code)},
                 {"outcome", static_cast<int>(outcome)},
                 {"attempts", attempts_},
                 {"tokens", static_cast<qint64>(tokens_.size())},
                 {"total_ms", static_cast<qint64>(
                                  (ended_at_ - spec_.accepted_at).count())}});
  for (auto& waiter : std::exchange(waiters_, {})) FinishWaiter(&waiter);
  context_->on_ended(this);
}

void Job::RecordClaim(RequestOutcome outcome) {
  if (!claim_held_ || !spec_.claim) return;
  claim_held_ = false;
  Claim ended = *spec_.claim;
  ended.changed_ms = WallClockMs();
  constexpr ClaimState kStates[] = {ClaimState::kNotRun, ClaimState::kDone,
                                    ClaimState::kUnknown};
  ended.state = kStates[static_cast<int>(outcome)];
  if (ended.state == ClaimState::kDone) {
    ended.status = answer_.status;
    ended.content_type = HeaderValue(answer_.headers, "Content-Type");
    ended.answer_kept = answer_.body.size() <= kMaxRecordedAnswerBytes;
    if (ended.answer_kept) ended.answer = answer_.body;
  }
  context_->environment.claims->Record(ended);
}

void Job::RecordMetrics(ResultCode code) {
  RequestSample sample;
  sample.service = runtime_->service.name;
  sample.workspace = spec_.workspace.name;
  sample.code = code;
  sample.first_token = first_token_;
  sample.total = ended_at_ - spec_.accepted_at;
  sample.tokens = tokens_.size();
  sample.recomputed_tokens = recomputed_tokens_;
  sample.attempts = attempts_;
  sample.good = InfoOf(code).http_status < 500;
  context_->environment.metrics->Record(sample, ended_at_);
}

std::optional<RequestRecord> Job::Detach() {
  if (WasDetached()) return std::nullopt;
  RequestRecord record;
  record.id = spec_.id;
  record.workspace = spec_.workspace.name;
  record.request = spec_.request;
  record.async = spec_.async;
  record.tokens = tokens_;
  record.time_left = std::max(TimeLeft(), Duration(0));
  record.claim_held = claim_held_;
  record.earlier_unknown = earlier_unknown_;
  if (IsDone()) {
    record.phase = RequestPhase::kDone;
    record.answer = answer_;
    return record;
  }
  if (phase_ == Phase::kClaiming) return std::nullopt;
  if (phase_ == Phase::kSending && !spec_.traits.idempotent) {
    return std::nullopt;
  }
  StopAttempt();
  phase_ = Phase::kMoved;
  ended_at_ = MonotonicNow();
  Trace("detach", {{"tokens", static_cast<qint64>(tokens_.size())}});
  return record;
}

void Job::TakeBack() {
  FIRMOOR_PRECONDITION(WasDetached(), "a detached job is taken back");
  phase_ = Phase::kQueued;
}

void Job::Moved(bool certain) {
  const std::string location = "/v1/requests/" + spec_.id;
  for (auto& waiter : std::exchange(waiters_, {})) {
    if (!certain) {
      waiter.responder->Send(MakeErrorAnswer(
          {{ResultCode::kPeerUnreachable, "the hand-over was not confirmed"},
           RequestOutcome::kUnknown,
           kUnknownRetryAfter},
          spec_.id));
    } else if (waiter.started) {
      waiter.responder->Write(
          "event: moved\n" +
          FormatSseEvent("", fmt::format(R"({{"location":"{}"}})", location)));
      waiter.responder->FinishStream();
    } else {
      waiter.responder->Send(
          {kSeeOther,
           {{"Location", location}, {"Firmoor-Request-Id", spec_.id}},
           {}});
    }
  }
  context_->on_ended(this);
}

void Job::Restore(const RequestRecord& record) {
  tokens_ = record.tokens;
  claim_held_ = record.claim_held;
  earlier_unknown_ = record.earlier_unknown;
  recomputed_tokens_ = tokens_.size();
  if (record.phase != RequestPhase::kDone) return;
  phase_ = Phase::kDone;
  answer_ = record.answer;
  ended_at_ = MonotonicNow();
  if (answer_.status != kOk) failure_event_ = answer_.body;
}

RequestTail Job::Tail(std::size_t from) const {
  RequestTail tail;
  tail.found = true;
  tail.workspace = spec_.workspace.name;
  tail.done = IsDone();
  if (from < tokens_.size()) {
    tail.tokens.assign(tokens_.begin() + static_cast<std::ptrdiff_t>(from),
                       tokens_.end());
  }
  if (tail.done) tail.answer = answer_;
  return tail;
}

void Job::Trace(const char* event, const QJsonObject& details) const {
  const auto& trace = context_->environment.trace;
  if (!trace) return;
  QJsonObject line = details;
  line["event"] = QLatin1String(event);
  line["id"] = QString::fromStdString(spec_.id);
  line["service"] = QString::fromStdString(runtime_->service.name);
  line["workspace"] = QString::fromStdString(spec_.workspace.name);
  trace(line);
}

}  // namespace firmoor::details
