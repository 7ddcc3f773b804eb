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

/// A checked request, ready to be admitted.
struct JobSpec {
  std::uint64_t number = 0;  ///< Unique inside this process.
  std::string id;            ///< Unique everywhere.
  Workspace workspace;
  OperationTraits traits;
  HttpRequest request;  ///< As the caller sent it.
  std::string upstream_target;
  std::optional<ModelRequest> model;
  std::optional<Claim> claim;  ///< When the request has a key to claim.
  bool async = false;
  TimePoint accepted_at;
  TimePoint deadline;
};

/// One accepted request on its way to its final answer. Owns the attempt in
/// flight; callers wait at it.
class Job : public std::enable_shared_from_this<Job> {
 public:
  Job(JobSpec spec, ServiceRuntime* runtime, ServingContext* context);
  ~Job();

  /// The request that admission decides on.
  [[nodiscard]] AdmissionRequest MakeAdmissionRequest() const;

  /// Admission lets the job run; `boost` puts it first at the upstream.
  void Run(bool boost);
  /// Admission refuses it. A keyed request first learns how its key stands,
  /// since "not run" must also be true of an earlier request with it.
  void Refuse(const Refusal& refusal);
  /// Gives up when the deadline has passed.
  void CheckDeadline(TimePoint now);

  /// Adds a caller. Streaming callers get the tokens from `from` on.
  void Attach(const std::shared_ptr<HttpResponder>& responder, bool stream,
              std::size_t from);

  /// Prepares the hand-over to another daemon: stops the attempt. Nothing
  /// when the request was sent and may not be sent again.
  std::optional<RequestRecord> Detach();
  /// No other daemon took it: it goes back to admission here.
  void Requeue();
  /// Tells the callers where the request goes on. Not `confirmed`: the other
  /// daemon may have taken it.
  void EndAfterHandover(bool confirmed);
  /// Continues what another daemon began.
  void Restore(const RequestRecord& record);

  [[nodiscard]] const JobSpec& spec() const { return spec_; }
  [[nodiscard]] bool IsDone() const { return phase_ == Phase::kDone; }
  [[nodiscard]] bool WasDetached() const { return phase_ == Phase::kMoved; }
  /// Refused, or about to be.
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
  HttpCallTimes CallTimeouts() const;
  void OnModelHead(int status, const HttpHeaders& headers);
  void OnModelBody(std::string_view bytes);
  void OnToken(std::string text);
  void OnFirstByte();
  void OnAttemptEnd(HttpCallEnd end);
  void EndAttempt(const AttemptEnd& end);
  AttemptDecision DecideWithBudget(const AttemptEnd& end);
  AttemptContext ContextFor(bool retry_allowed) const;
  /// Whether to wait for a full replica that has the prefix of the prompt.
  bool WaitsForPrefix(const Router::Choice& choice, TimePoint now);
  void Retry(bool resume);
  void StopAttempt();
  /// Tries an accepted asynchronous request again after a backoff, however
  /// often it failed; false when it may not be or its time is up.
  bool RetryAfterBackoff();
  void PauseForSlowCallers();
  void Fail(ResultCode code, RequestOutcome outcome,
            std::optional<Duration> retry_after = std::nullopt,
            std::string message = "");
  void Finish(HttpAnswer answer, ResultCode code, RequestOutcome outcome);
  void RecordClaim(RequestOutcome outcome);
  void RecordMetrics(ResultCode code);
  void OnCallerLeft();
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
  int attempts_without_progress_ = 0;  ///< In a row.
  std::size_t tokens_at_send_ = 0;
  int priority_boost_ = 0;
  std::optional<TimePoint> prefix_wait_deadline_;
  int backoff_count_ = 0;
  bool first_byte_seen_ = false;
  bool earlier_unknown_ = false;
  HttpAnswer upstream_answer_;
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
