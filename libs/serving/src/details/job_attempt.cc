// Attempts of Job at upstreams: sending, responses, retries and resumption.

#include <QTimer>
#include <algorithm>
#include <utility>

#include "details/job.h"

namespace firmoor::details {
namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr Duration kNoUpstreamRetryAfter{1'000};
// Backoff between attempts of an accepted asynchronous request.
constexpr Duration kInitialBackoff{500};
constexpr Duration kMaxBackoff{10'000};
constexpr int kMaxBackoffDoublings = 5;
constexpr int kPrefixPollMs = 20;
constexpr const char* kNotRunHeader = "Not-Run";

/// Whether a header is addressed to firmoor and not forwarded to upstreams.
bool IsConsumedHeader(std::string_view name) {
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

void Job::Send() {
  const auto now = MonotonicNow();
  phase_ = Phase::kSending;
  const auto choice = PickUpstream(now);
  const Vm* vm = choice ? context_->upstreams.Find(choice->id) : nullptr;
  if (vm == nullptr) {
    if (RetryAfterBackoff()) return;
    return Fail(
        ResultCode::kNoUpstream,
        earlier_unknown_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun,
        kNoUpstreamRetryAfter);
  }
  if (WaitsForPrefix(*choice, now)) return;
  context_->upstreams.AssertAcceptsRequests(vm->id, now);
  ticket_ = runtime_->router.OnDispatch(vm->id, route_, now);
  upstream_ = vm->id;
  distance_ = choice->distance;
  sent_at_ = now;
  ++attempts_;
  ++attempts_without_progress_;
  tokens_at_send_ = tokens_.size();
  first_byte_seen_ = false;
  upstream_answer_ = {};
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

std::optional<Router::Choice> Job::PickUpstream(TimePoint now) {
  route_.may_cross_region = context_->link.HasBalance(now);
  auto choice = runtime_->router.Pick(route_, now);
  if (choice || route_.exclude.empty()) return choice;
  // One that was tried before, the last one only if there is no other.
  route_.exclude = {upstream_};
  choice = runtime_->router.Pick(route_, now);
  if (choice) return choice;
  route_.exclude.clear();
  return runtime_->router.Pick(route_, now);
}

bool Job::MayLeaveSilentUpstream() const {
  const AttemptEnd silent{HttpCallEnd::kTimedOut, true};
  const bool has_retry = runtime_->retries.available() >= 1;
  const auto step = DecideAttempt(silent, ContextFor(has_retry)).step;
  if (step != NextStep::kRetryElsewhere && step != NextStep::kResumeElsewhere) {
    return false;
  }
  auto others = route_;
  others.exclude = {upstream_};
  return runtime_->router.CanPick(others, MonotonicNow());
}

bool Job::WaitsForPrefix(const Router::Choice& choice, TimePoint now) {
  if (!spec_.model || priority_boost_ > 0) return false;
  if (!prefix_wait_deadline_) {
    prefix_wait_deadline_ = std::min(now + runtime_->router.MaxPrefixWait(),
                                     spec_.deadline - kMinTimeForAttempt);
  }
  if (now >= *prefix_wait_deadline_) return false;
  if (!runtime_->router.IsWorthWaiting(route_, choice, now)) return false;
  QTimer::singleShot(kPrefixPollMs, &timer_, [this] {
    if (phase_ == Phase::kSending) Send();
  });
  return true;
}

HttpRequest Job::UpstreamRequest() const {
  HttpRequest request{spec_.request.method, spec_.upstream_target, {}, {}};
  for (const auto& header : spec_.request.headers) {
    if (!IsConsumedHeader(header.name)) request.headers.push_back(header);
  }
  request.headers.push_back({"Firmoor-Request-Id", spec_.id});
  return request;
}

HttpCallTimeouts Job::CallTimeouts() const {
  HttpCallTimeouts times;
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
              .Timeouts(CallTimeouts())
              .EndIfSilent([this] { return MayLeaveSilentUpstream(); })
              .Pool(spec_.traits.idempotent ? &context_->pool : nullptr)
              .LimitBody(kMaxCollectedBodyBytes)
              .OnHead([this](int status, const HttpHeaders& headers) {
                OnFirstByte();
                upstream_answer_.status = status;
                upstream_answer_.headers = headers;
                attempt_.declared_not_run =
                    !HeaderValue(headers, kNotRunHeader).empty();
              })
              .OnBody([this](std::string_view bytes) {
                upstream_answer_.body += bytes;
              })
              .OnEnd([this](HttpCallEnd end) { OnAttemptEnd(end); })
              .Start();
}

void Job::SendModel(const Vm& vm) {
  auto request = UpstreamRequest();
  std::erase_if(request.headers, [](const HttpHeader& header) {
    return EqualsIgnoreCase(header.name, "last-event-id");
  });
  request.body = MakeUpstreamBody(
      *spec_.model, {Join(tokens_), tokens_.size()}, spec_.id,
      spec_.traits.priority + spec_.workspace.priority + priority_boost_,
      kv_source_);
  sse_ = SseParser();
  attempt_.stream_complete = false;
  call_ = HttpCall::Builder(vm.endpoint, std::move(request))
              .Timeouts(CallTimeouts())
              .EndIfSilent([this] { return MayLeaveSilentUpstream(); })
              .Pool(&context_->pool)
              .OnHead([this](int status, const HttpHeaders& headers) {
                OnModelHead(status, headers);
              })
              .OnBody([this](std::string_view bytes) { OnModelBody(bytes); })
              .OnEnd([this](HttpCallEnd end) { OnAttemptEnd(end); })
              .Start();
}

void Job::OnModelHead(int status, const HttpHeaders& headers) {
  upstream_answer_.status = status;
  upstream_answer_.headers = headers;
  attempt_.declared_not_run = !HeaderValue(headers, kNotRunHeader).empty();
  attempt_.overloaded = status == kTooManyRequests || status == kUnavailable;
  if (status != kOk) call_->LimitBody(kMaxCollectedBodyBytes);
}

void Job::OnModelBody(std::string_view bytes) {
  if (distance_ == Router::Distance::kRemote) {
    context_->link.Spend(static_cast<std::int64_t>(bytes.size()),
                         MonotonicNow());
  }
  if (upstream_answer_.status != kOk) {
    upstream_answer_.body += bytes;
    return;
  }
  for (auto& event : sse_.Feed(bytes)) {
    if (event == kStreamEnd) {
      attempt_.stream_complete = true;
      continue;
    }
    auto text = Capture([&] { return ParseTokenText(event); });
    if (auto* token = std::get_if<std::string>(&text)) {
      OnToken(std::move(*token));
    }
  }
  if (sse_.overflowed() && call_) return call_->Cancel();
  callers_.SendTokens(tokens_);
  UpdateFlow();
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

void Job::UpdateFlow() {
  const bool is_paused = callers_.IsPaused(MonotonicNow());
  // An attempt without a first byte has a time-out that must go on.
  if (call_ && (first_byte_seen_ || !is_paused)) call_->SetPaused(is_paused);
}

void Job::OnAttemptEnd(HttpCallEnd end) {
  const auto self = shared_from_this();
  attempt_.end = end;
  attempt_.may_have_been_sent = call_ && call_->MayHaveBeenSent();
  // Deletion is deferred because this runs inside the call's own handler.
  QMetaObject::invokeMethod(
      &context_->event_loop,
      [call = std::shared_ptr<HttpCall>(std::move(call_))] {},
      Qt::QueuedConnection);
  EndAttempt(attempt_);
}

void Job::EndAttempt(const AttemptEnd& end) {
  // A generation that makes progress may be resumed while the budget allows.
  if (tokens_.size() > tokens_at_send_) attempts_without_progress_ = 1;
  const auto now = MonotonicNow();
  runtime_->router.OnEnd(&ticket_);
  const auto decision = DecideWithBudget(end);
  const bool answered = decision.step == NextStep::kPassAnswer;
  if (answered) {
    runtime_->router.OnSuccess(upstream_);
  } else if (end.end != HttpCallEnd::kCancelled) {
    runtime_->router.OnFailure(upstream_, now);
    if (const auto* vm = context_->upstreams.Find(upstream_)) {
      context_->pool.Forget(vm->endpoint);
      kv_source_ = vm->endpoint.ToString();
    }
  }
  TraceEnd(end, decision);
  if (OutcomeOf(end) != RequestOutcome::kNotRun) earlier_unknown_ = !answered;
  switch (decision.step) {
    case NextStep::kPassAnswer:
      if (spec_.model && upstream_answer_.status == kOk) {
        upstream_answer_ = {kOk,
                            {{"Content-Type", "application/json"}},
                            MakeCompletion(*spec_.model, spec_.id,
                                           {Join(tokens_), tokens_.size()})};
      }
      return Finish(std::move(upstream_answer_), ResultCode::kOk,
                    RequestOutcome::kRan);
    case NextStep::kRetryElsewhere:
      return Retry(false);
    case NextStep::kResumeElsewhere:
      return Retry(true);
    case NextStep::kFail:
      if (RetryAfterBackoff()) return;
      return Fail(decision.code, decision.outcome,
                  decision.outcome == RequestOutcome::kNotRun
                      ? std::optional(kNoUpstreamRetryAfter)
                      : std::nullopt);
  }
}

void Job::TraceEnd(const AttemptEnd& end,
                   const AttemptDecision& decision) const {
  if (!context_->environment.trace) return;
  const auto context =
      ContextFor(decision.code != ResultCode::kRetryBudgetExhausted);
  Trace("end", {{"upstream", QString::fromStdString(upstream_)},
                {"end", static_cast<int>(end.end)},
                {"may_have_left", end.may_have_been_sent},
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
                {"step", static_cast<int>(decision.step)},
                {"code", static_cast<int>(decision.code)},
                {"outcome", static_cast<int>(decision.outcome)}});
}

AttemptContext Job::ContextFor(bool retry_allowed) const {
  AttemptContext context;
  context.idempotent = spec_.traits.idempotent;
  context.answer_started = !tokens_.empty();
  context.resumable = spec_.model.has_value();
  context.attempts = attempts_without_progress_;
  context.time_left = TimeLeft();
  context.retry_allowed = retry_allowed;
  context.earlier_unknown = earlier_unknown_;
  return context;
}

AttemptDecision Job::DecideWithBudget(const AttemptEnd& end) {
  const auto decision = DecideAttempt(end, ContextFor(true));
  const bool again = decision.step == NextStep::kRetryElsewhere ||
                     decision.step == NextStep::kResumeElsewhere;
  if (!again || runtime_->retries.TryTake()) return decision;
  return DecideAttempt(end, ContextFor(false));
}

void Job::Retry(bool resume) {
  route_.exclude.insert(upstream_);
  if (resume) recomputed_tokens_ += tokens_.size();
  QTimer::singleShot(0, &timer_, [this] {
    if (phase_ == Phase::kSending) Send();
  });
}

bool Job::RetryAfterBackoff() {
  const auto backoff = std::min(
      kInitialBackoff * (1 << std::min(backoff_count_, kMaxBackoffDoublings)),
      kMaxBackoff);
  const bool may_repeat = spec_.async && spec_.traits.idempotent;
  if (!may_repeat || TimeLeft() < backoff + kMinTimeForAttempt) return false;
  ++backoff_count_;
  attempts_without_progress_ = 0;
  route_.exclude.clear();
  QTimer::singleShot(backoff, &timer_, [this] {
    if (phase_ == Phase::kSending) Send();
  });
  return true;
}

void Job::StopAttempt() {
  if (!call_) return;
  runtime_->router.OnEnd(&ticket_);
  if (call_->MayHaveBeenSent()) earlier_unknown_ = true;
  call_.reset();
}

}  // namespace firmoor::details
