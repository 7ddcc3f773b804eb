// Admission, claims, callers and hand-over of Job.

#include "details/job.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "serving/prefix_chunks.h"

namespace firmoor::details {
namespace {

constexpr int kOk = 200;
constexpr int kClaimPollMs = 150;
constexpr Duration kMaxClaimWait{3'000};
constexpr Duration kNoUpstreamRetryAfter{1'000};
constexpr Duration kStoreUnavailableRetryAfter{2'000};
constexpr Duration kUnknownRetryAfter{5'000};
// Other daemons serve at once; callers need only be kept from a tight loop.
constexpr Duration kStopRetryAfter{1'000};
constexpr const char* kStoppedBeforeAnswer =
    "The daemon stopped before the upstream had answered.";
constexpr const char* kStoppedBeforeSent =
    "The daemon stopped before the request was sent.";
constexpr const char* kEarlierMayHaveRun =
    "Nothing was sent for this request, but whether an earlier request with "
    "its Idempotency-Key ran cannot be told now.";
// Added to the priority that an upstream sees.
constexpr int kBelowFairShareBoost = 1;

}  // namespace

Job::Job(JobSpec spec, ServiceRuntime* runtime, ServingContext* context)
    : spec_(std::move(spec)),
      runtime_(runtime),
      context_(context),
      callers_(spec_.id, spec_.model ? &*spec_.model : nullptr,
               &context->caller_flows) {
  timer_.setSingleShot(true);
  if (!spec_.model) return;
  route_.chunks = PrefixChunks(spec_.model->prompt);
  route_.prompt_tokens = EstimateTokens(spec_.model->prompt);
}

Job::~Job() = default;

AdmissionRequest Job::MakeAdmissionRequest() const {
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
  priority_boost_ = boost ? kBelowFairShareBoost : 0;
  if (spec_.claim && !claim_held_) return RequestClaim();
  Send();
}

void Job::Refuse(const Refusal& refusal) {
  if (!spec_.claim || claim_held_) {
    return Fail(
        refusal.code,
        earlier_unknown_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun,
        refusal.retry_after);
  }
  phase_ = Phase::kRefused;
  context_->environment.claims->QueryKey(
      *spec_.claim, [weak = weak_from_this(),
                     refusal](const ClaimBatcher::Decision& decision) {
        if (const auto self = weak.lock()) {
          self->OnKeyQueried(refusal, decision);
        }
      });
}

void Job::OnKeyQueried(const Refusal& refusal,
                       const ClaimBatcher::Decision& decision) {
  if (!IsRefused()) return;
  switch (decision.result) {
    case ClaimResult::kGranted:
      return Fail(refusal.code, RequestOutcome::kNotRun, refusal.retry_after);
    case ClaimResult::kReplay:
      return Replay(decision.claim);
    case ClaimResult::kKeyReused:
      return Fail(ResultCode::kKeyReused, RequestOutcome::kNotRun);
    default:
      return Fail(refusal.code, RequestOutcome::kUnknown, refusal.retry_after,
                  kEarlierMayHaveRun);
  }
}

void Job::CheckDeadline(TimePoint now) {
  if (now < spec_.deadline || IsDone() || WasDetached()) return;
  if (phase_ == Phase::kSending && call_) {
    call_->Cancel();
  } else if (phase_ == Phase::kClaiming) {
    Fail(ResultCode::kDeadlineExceeded, RequestOutcome::kUnknown, std::nullopt,
         kEarlierMayHaveRun);
  }
}

void Job::CutStalledCallers(TimePoint now) {
  const auto self = shared_from_this();
  callers_.CutStalled(now);
}

void Job::RequestClaim() {
  phase_ = Phase::kClaiming;
  if (claim_wait_deadline_ == TimePoint()) {
    claim_wait_deadline_ =
        std::min(spec_.deadline, MonotonicNow() + kMaxClaimWait);
  }
  auto wanted = *spec_.claim;
  wanted.changed_ms = WallClockMs();
  context_->environment.claims->Claim(
      wanted,
      [weak = weak_from_this()](const ClaimBatcher::Decision& decision) {
        if (const auto self = weak.lock()) self->OnClaim(decision);
      });
}

void Job::OnClaim(const ClaimBatcher::Decision& decision) {
  const bool granted = decision.result == ClaimResult::kGranted;
  if (phase_ != Phase::kClaiming) {
    // The job ended while claiming. Nothing was sent, so the key is released.
    claim_held_ = granted;
    if (granted) RecordClaim(RequestOutcome::kNotRun);
    return;
  }
  switch (decision.result) {
    case ClaimResult::kGranted:
      claim_held_ = true;
      if (TimeLeft() <= Duration(0)) {
        return Fail(ResultCode::kDeadlineExceeded, RequestOutcome::kNotRun);
      }
      return Send();
    case ClaimResult::kReplay:
      return Replay(decision.claim);
    case ClaimResult::kInProgress:
      return OnClaimInProgress(decision.claim);
    case ClaimResult::kUnknown:
      return Fail(ResultCode::kOutcomeUnknown, RequestOutcome::kUnknown);
    case ClaimResult::kKeyReused:
      return Fail(ResultCode::kKeyReused, RequestOutcome::kNotRun);
    case ClaimResult::kStoreUnavailable:
      if (runtime_->service.deduplicates_keys) return Send();
      return Fail(ResultCode::kClaimStoreUnavailable, RequestOutcome::kUnknown,
                  kStoreUnavailableRetryAfter, kEarlierMayHaveRun);
  }
}

void Job::Replay(const Claim& ended) {
  if (!ended.answer_kept) {
    return Fail(ResultCode::kResponseNotKept, RequestOutcome::kRan);
  }
  Finish({ended.status,
          {{"Content-Type", ended.content_type}, {"Firmoor-Replayed", "true"}},
          ended.answer},
         ResultCode::kOk, RequestOutcome::kRan);
}

void Job::OnClaimInProgress(const Claim& holder) {
  if (!context_->is_owner_live(holder)) {
    return Fail(ResultCode::kOutcomeUnknown, RequestOutcome::kUnknown,
                kUnknownRetryAfter);
  }
  if (MonotonicNow() + Duration(kClaimPollMs) > claim_wait_deadline_) {
    return Fail(ResultCode::kKeyInProgress, RequestOutcome::kUnknown,
                kNoUpstreamRetryAfter);
  }
  QTimer::singleShot(kClaimPollMs, &timer_, [this] {
    if (phase_ == Phase::kClaiming) RequestClaim();
  });
}

void Job::Attach(const std::shared_ptr<HttpResponder>& responder, bool stream,
                 std::size_t from) {
  responder->OnCallerDisconnected([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  responder->OnSent([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->UpdateFlow();
  });
  callers_.Add(responder, stream, from);
  callers_.SendTokens(tokens_);
  if (IsDone()) callers_.Finish(tokens_, answer_);
}

void Job::OnCallerDisconnected() {
  callers_.RemoveDisconnected();
  UpdateFlow();
  const bool wanted =
      !callers_.empty() || spec_.async || !spec_.traits.idempotent;
  if (wanted || IsDone() || WasDetached()) return;
  Trace("caller-left", {});
  StopAttempt();
  phase_ = Phase::kDone;
  ended_at_ = MonotonicNow();
  context_->on_ended(this);
}

void Job::Fail(ResultCode code, RequestOutcome outcome,
               std::optional<Duration> retry_after, std::string message) {
  const Failure failure{{code, std::move(message)}, outcome, retry_after};
  answer_.failure_event = FailureJson(failure, spec_.id);
  Finish(MakeErrorAnswer(failure, spec_.id), code, outcome);
}

void Job::Finish(HttpResponse answer, ResultCode code, RequestOutcome outcome) {
  FIRMOOR_INVARIANT(!IsDone() && !WasDetached(),
                    "a request gets exactly one final answer");
  const auto self = shared_from_this();
  phase_ = Phase::kDone;
  ended_at_ = MonotonicNow();
  answer_.http_answer = std::move(answer);
  if (HeaderValue(answer_.http_answer.headers, "Firmoor-Request-Id").empty()) {
    answer_.http_answer.headers.push_back({"Firmoor-Request-Id", spec_.id});
  }
  RecordClaim(outcome);
  RecordMetrics(code);
  Trace("done", {{"code", static_cast<int>(code)},
                 {"outcome", static_cast<int>(outcome)},
                 {"attempts", attempts_},
                 {"tokens", static_cast<qint64>(tokens_.size())},
                 {"total_ms", static_cast<qint64>(
                                  (ended_at_ - spec_.accepted_at).count())}});
  callers_.Finish(tokens_, answer_);
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
    ended.status = answer_.http_answer.status;
    ended.content_type =
        HeaderValue(answer_.http_answer.headers, "Content-Type");
    ended.answer_kept =
        answer_.http_answer.body.size() <= kMaxRecordedAnswerBytes;
    if (ended.answer_kept) ended.answer = answer_.http_answer.body;
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
    record.answer = answer_.http_answer;
    return record;
  }
  if (phase_ == Phase::kClaiming || IsRefused()) return std::nullopt;
  if (phase_ == Phase::kSending && !spec_.traits.idempotent) {
    return std::nullopt;
  }
  StopAttempt();
  record.earlier_unknown = earlier_unknown_;
  phase_ = Phase::kMoved;
  ended_at_ = MonotonicNow();
  Trace("detach", {{"tokens", static_cast<qint64>(tokens_.size())}});
  return record;
}

void Job::Requeue() {
  FIRMOOR_PRECONDITION(WasDetached(), "only a detached job can be requeued");
  phase_ = Phase::kQueued;
}

void Job::EndAfterHandover(bool confirmed) {
  if (confirmed) {
    callers_.RedirectAll();
  } else {
    callers_.EndUnconfirmed();
  }
  context_->on_ended(this);
}

void Job::EndAtStop() {
  if (IsDone()) return;
  // The daemon that the request was offered to may have adopted it.
  if (WasDetached()) return EndAfterHandover(false);
  StopAttempt();
  const bool key_unknown = spec_.claim && !claim_held_;
  const auto decision = DecideAtStop({earlier_unknown_, key_unknown});
  if (earlier_unknown_) {
    return Fail(decision.code, decision.outcome, std::nullopt,
                kStoppedBeforeAnswer);
  }
  Fail(decision.code, decision.outcome, kStopRetryAfter,
       key_unknown ? kEarlierMayHaveRun : kStoppedBeforeSent);
}

void Job::Restore(const RequestRecord& record) {
  tokens_ = record.tokens;
  claim_held_ = record.claim_held;
  earlier_unknown_ = record.earlier_unknown;
  recomputed_tokens_ = tokens_.size();
  if (record.phase != RequestPhase::kDone) return;
  phase_ = Phase::kDone;
  answer_.http_answer = record.answer;
  ended_at_ = MonotonicNow();
  if (answer_.http_answer.status != kOk) {
    answer_.failure_event = answer_.http_answer.body;
  }
}

RequestProgress Job::Progress(std::size_t from) const {
  RequestProgress progress;
  progress.found = true;
  progress.workspace = spec_.workspace.name;
  progress.done = IsDone();
  if (from < tokens_.size()) {
    progress.tokens.assign(tokens_.begin() + static_cast<std::ptrdiff_t>(from),
                           tokens_.end());
  }
  if (progress.done) {
    progress.answer = answer_.http_answer;
  } else {
    progress.time_left = std::max(TimeLeft(), Duration(0));
  }
  return progress;
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
