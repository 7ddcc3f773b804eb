#ifndef FIRMOOR_SERVING_DETAILS_JOB_H_
#define FIRMOOR_SERVING_DETAILS_JOB_H_

#include <QTimer>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "details/caller_list.h"
#include "details/service_runtime.h"
#include "details/serving_context.h"
#include "serving/error_answer.h"
#include "serving/model_request.h"
#include "serving/sse_parser.h"

namespace firmoor::details {

/// A validated request, ready for admission.
struct JobSpec {
  std::uint64_t number = 0;  ///< Unique in this process.
  std::string id;            ///< Globally unique.
  Workspace workspace;
  OperationTraits traits;
  HttpRequest request;  ///< As received from the caller.
  std::string upstream_target;
  std::optional<ModelRequest> model;
  std::optional<Claim> claim;  ///< Set if its key must be claimed.
  bool async = false;
  TimePoint accepted_at;
  TimePoint deadline;
};

/// One accepted request until its final answer. Owns the attempt in flight and
/// the list of connected callers.
class Job : public std::enable_shared_from_this<Job> {
 public:
  Job(JobSpec spec, ServiceRuntime* runtime, ServingContext* context);
  ~Job();

  /// Input of the admission decision.
  [[nodiscard]] AdmissionRequest MakeAdmissionRequest() const;

  /// Starts the admitted job; `boost` raises its priority at the upstream.
  void Run(bool boost);
  /// Ends the job that admission refused. For a request with an idempotency
  /// key, the state of the key is queried first, because "not run" must also
  /// hold for earlier requests with the same key.
  void Refuse(const Refusal& refusal);
  /// If the deadline has passed, cancels the attempt or fails the job that is
  /// still claiming its key.
  void CheckDeadline(TimePoint now);

  /// Cuts off callers of the stream that have taken nothing for too long.
  void CutStalledCallers(TimePoint now);

  /// Adds a caller. A streaming caller gets the tokens from index `from` on.
  void Attach(const std::shared_ptr<HttpResponder>& responder, bool stream,
              std::size_t from);

  /// Cancels the attempt and returns the record for the hand-over to another
  /// daemon. Returns nothing if the request was sent and is not idempotent, is
  /// being claimed or refused, or is detached already.
  std::optional<RequestRecord> Detach();
  /// Makes a detached job ready for admission here again, after no other daemon
  /// adopted it.
  void Requeue();
  /// Ends the job here after a hand-over. If `confirmed`, callers are
  /// redirected; otherwise they get an unknown outcome, since the other daemon
  /// may have adopted the request.
  void EndAfterHandover(bool confirmed);
  /// Ends the job, if it has not ended, since the daemon stops: its callers get
  /// an error that tells whether it may have run.
  void EndAtStop();
  /// Restores the state that another daemon handed over.
  void Restore(const RequestRecord& record);

  [[nodiscard]] const JobSpec& spec() const { return spec_; }
  [[nodiscard]] bool IsDone() const { return phase_ == Phase::kDone; }
  [[nodiscard]] bool WasDetached() const { return phase_ == Phase::kMoved; }
  /// Refused by admission, with the query of its key still pending.
  [[nodiscard]] bool IsRefused() const { return phase_ == Phase::kRefused; }
  [[nodiscard]] TimePoint ended_at() const { return ended_at_; }
  [[nodiscard]] RequestProgress Progress(std::size_t from) const;

 private:
  enum class Phase { kQueued, kRefused, kClaiming, kSending, kDone, kMoved };
  void RequestClaim();
  void OnClaim(const ClaimBatcher::Decision& decision);
  void OnClaimInProgress(const Claim& holder);
  void OnKeyQueried(const Refusal& refusal,
                    const ClaimBatcher::Decision& decision);
  void Replay(const Claim& ended);
  void Send();
  void SendPlain(const Vm& vm);
  void SendModel(const Vm& vm);
  HttpRequest UpstreamRequest() const;
  HttpCallTimeouts CallTimeouts() const;
  std::optional<Router::Choice> PickUpstream(TimePoint now);
  /// Whether another upstream may take over from the current one, which is
  /// silent. Otherwise the attempt lasts until the deadline.
  bool MayLeaveSilentUpstream() const;
  void OnModelHead(int status, const HttpHeaders& headers);
  void OnModelBody(std::string_view bytes);
  void OnToken(std::string text);
  void OnFirstByte();
  void OnAttemptEnd(HttpCallEnd end);
  void EndAttempt(const AttemptEnd& end);
  AttemptDecision DecideWithBudget(const AttemptEnd& end);
  AttemptContext ContextFor(bool retry_allowed) const;
  /// Starts waiting, and returns true, if a busy replica that has the prompt's
  /// prefix cached is worth waiting for.
  bool WaitsForPrefix(const Router::Choice& choice, TimePoint now);
  void Retry(bool resume);
  void StopAttempt();
  /// Schedules a retry of an idempotent asynchronous request after a backoff,
  /// without a limit on attempts. Returns false if the request does not qualify
  /// or too little time is left.
  bool RetryAfterBackoff();
  /// Reads the upstream only as fast as the callers take the tokens.
  void UpdateFlow();
  void Fail(ResultCode code, RequestOutcome outcome,
            std::optional<Duration> retry_after = std::nullopt,
            std::string message = "");
  void Finish(HttpResponse answer, ResultCode code, RequestOutcome outcome);
  void RecordClaim(RequestOutcome outcome);
  void RecordMetrics(ResultCode code);
  void OnCallerDisconnected();
  void TraceEnd(const AttemptEnd& end, const AttemptDecision& decision) const;
  void Trace(const char* event, const QJsonObject& details) const;
  Duration TimeLeft() const;

  JobSpec spec_;
  ServiceRuntime* runtime_;
  ServingContext* context_;
  RouteRequest route_;
  Phase phase_ = Phase::kQueued;
  CallerList callers_;
  QTimer timer_;
  bool claim_held_ = false;
  TimePoint claim_wait_deadline_;

  std::unique_ptr<HttpCall> call_;
  std::string upstream_;
  RouteTicket ticket_;
  Router::Distance distance_ = Router::Distance::kZone;
  TimePoint sent_at_;
  int attempts_ = 0;
  int attempts_without_progress_ = 0;  ///< Consecutive attempts.
  std::size_t tokens_at_send_ = 0;
  int priority_boost_ = 0;
  std::optional<TimePoint> prefix_wait_deadline_;
  int backoff_count_ = 0;
  bool first_byte_seen_ = false;
  bool earlier_unknown_ = false;
  HttpResponse upstream_answer_;
  AttemptEnd attempt_;
  SseParser sse_;

  std::vector<std::string> tokens_;
  std::string kv_source_;
  std::uint64_t recomputed_tokens_ = 0;
  std::optional<Duration> first_token_;
  TimePoint last_token_at_;
  FinalAnswer answer_;
  TimePoint ended_at_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_SERVING_DETAILS_JOB_H_
