#ifndef FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
#define FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_

#include <QTimer>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "details/gateway_context.h"
#include "gateway/event_relay.h"
#include "gateway/request_admission.h"
#include "serving/attempt_policy.h"

namespace firmoor::details {

/// One request of a caller, from its admission to its final answer: sends it
/// to upstreams one after the other, as far as the attempt policy allows, and
/// passes the answer on. Kept alive by the context until it ends.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayContext* context, ForwardRequest request,
           RequestAdmission admission,
           std::shared_ptr<HttpResponder> responder);

  void Start();

  /// The coordinator has granted more of the quotas.
  void RetryQuotaCharge();

  /// The upstream ends at `ends_at`; a stream that is there goes on at another
  /// one, with its memory, unless it ends before.
  void OnUpstreamEnding(const std::string& upstream, TimePoint ends_at,
                        std::int64_t tokens_per_event);

  /// Ends the request with a failure of the daemon's own.
  void Refuse(ResultCode code, std::string message, RequestOutcome outcome,
              std::optional<Duration> retry_after);

 private:
  /// One sending to one upstream.
  struct Attempt {
    UpstreamEntry upstream;
    PickTicket ticket;
    std::int64_t in_flight = 0;  ///< Of this daemon there, when it was sent.
    double prefill_tokens = 0;   ///< Estimated not to be cached there.
    std::unique_ptr<HttpCall> call;
    TimePoint sent_at;
    std::optional<UpstreamResponseHead> head;
    std::string body;  ///< Of an answer that is passed on as a whole.
    bool is_event_stream = false;  ///< The answer is a stream of events.
    bool is_mismatched = false;    ///< The answer belongs to another request.
    /// Not sent: the key or the upstream would not do any more.
    bool send_cancelled = false;
  };

  void ChargeQuota(bool may_wait);
  void Forward();
  [[nodiscard]] PickRequest MakePickRequest() const;
  [[nodiscard]] bool CanVerifyKey() const;
  /// Whether the upstream of this attempt has become one that leaves.
  [[nodiscard]] bool IsLeaving() const;
  /// Sends the request to the best upstream that is left, perhaps after some
  /// engines were asked for their load.
  void TryNextUpstream();
  void OnProbeResult();
  void SendToBestUpstream();
  [[nodiscard]] RequestOutcome OutcomeSoFar() const;
  /// Takes its own copy: `upstream` may be that of the attempt before.
  void Send(UpstreamEntry upstream,
            const std::optional<KvCacheCopy>& copy = std::nullopt);
  [[nodiscard]] bool WillFinishBefore(TimePoint ends_at,
                                      std::int64_t tokens_per_event) const;
  void StartMove(TimePoint ends_at, std::int64_t tokens_per_event);
  void OnMoveResult(const HttpFetchResult& result, const UpstreamEntry& target);
  void ContinueAt(const UpstreamEntry& upstream, const std::string& handle);
  [[nodiscard]] HttpCallTimes TimeoutsAt(TimePoint now) const;
  void OnHead(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  void OnEvents(const std::string& events);
  void OnEnd(HttpCallEnd end);
  void ForwardAnswer(const AttemptVerdict& verdict);
  void FailRequest(const AttemptVerdict& verdict);
  [[nodiscard]] Duration RetryDelay() const;
  void AbortStream(ResultCode code);
  void OnTimeout();
  /// How long a stream that makes progress may go on; 0 or less when its
  /// events have stopped, or the route's time is over.
  [[nodiscard]] Duration RemainingStreamTime(TimePoint now) const;
  void OnCallerDisconnected();
  [[nodiscard]] AttemptEnd MakeAttemptEnd(HttpCallEnd end) const;
  [[nodiscard]] AttemptContext MakeAttemptContext(TimePoint now) const;
  [[nodiscard]] UpstreamOutcome UpstreamOutcomeOf(const AttemptEnd& end) const;
  void CountUsage();
  void Finish(ResultCode code, std::string_view outcome);
  void LogAttempt(const AttemptEnd& end, const AttemptVerdict& verdict) const;

  GatewayContext* context_;
  ForwardRequest request_;
  // The configuration may be replaced while the request is in work.
  std::shared_ptr<const RouteTable> table_;
  RequestAdmission admission_;
  std::string service_;
  std::shared_ptr<HttpResponder> responder_;
  TimePoint started_at_;
  TimePoint ends_at_;
  QTimer timer_;
  Attempt attempt_;
  std::unique_ptr<HttpCall> move_call_;
  std::optional<HttpCallEnd> end_during_move_;
  std::set<std::string> tried_upstreams_;
  EventRelay relay_;
  std::optional<TimePoint> first_event_;
  TimePoint last_event_;
  Duration longest_pause_{0};  ///< Between two events.
  int sends_ = 0;              ///< Times that bytes may have left.
  int counted_attempts_ = 0;   ///< Without upstreams that ended meanwhile.
  bool may_have_run_ = false;
  bool usage_counted_ = false;
  bool answer_started_ = false;
  bool caller_disconnected_ = false;
  double quota_tokens_ = 0;  ///< Counted against the workspace's quota.
  bool waiting_for_quota_ = false;
  std::size_t probes_sent_ = 0;     ///< Engines that were asked.
  std::size_t probes_pending_ = 0;  ///< Of them, without an answer.
  Duration expected_wait_{0};       ///< For a slot, when it was sent.
  bool finished_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
