#ifndef FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
#define FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_

#include <QTimer>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "details/delegated_response_writer.h"
#include "details/gateway_context.h"
#include "gateway/event_relay.h"
#include "gateway/request_admission.h"
#include "quarantine/suspect.h"
#include "serving/attempt_policy.h"

namespace firmoor::details {

/// Added to the route's timeout, which callers count from when they send.
constexpr Duration kRouteTimeoutGrace{50};

/// One caller's request, from its admission to its final response: sends it to
/// upstreams one after the other, as far as the attempt policy allows, and
/// forwards the response. Kept alive by the context until it ends.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// Where a request comes from that another daemon delegated to this one.
  struct Origin {
    DelegatedRequest request;
    std::shared_ptr<DelegatedResponseWriter> writer;
  };

  Exchange(GatewayContext* context, ForwardRequest request,
           RequestAdmission admission,
           std::shared_ptr<ResponseWriter> responder,
           std::optional<Origin> origin = std::nullopt);

  void Start();

  /// `upstream` shuts down at `ends_at`. If a stream runs there and will not
  /// finish before, moves it to another engine together with its KV cache.
  void OnUpstreamEnding(const std::string& upstream, TimePoint ends_at,
                        std::int64_t tokens_per_event);

  [[nodiscard]] const std::string& service() const { return service_; }
  /// Whether the request waits for a slot of a brittle upstream.
  [[nodiscard]] bool IsWaitingForSlot() const {
    return waiting_for_slot_ && !finished_;
  }
  /// Continues a request that waits for a permit or slot.
  void OnPermitGrant();
  /// Software version to which the stream is bound; empty while any will do.
  [[nodiscard]] const std::optional<std::string>& version() const {
    return version_;
  }

  /// `upstream` is registered as another instance. If that one may have written
  /// the stream, its version is not known for sure any more.
  void OnUpstreamReplaced(const std::string& upstream);

  /// Tells the monitor of the links if the upstream has been silent for long.
  void ReportSilence(TimePoint now) const;
  /// The links to all upstreams of the service are lost: goes on through
  /// another daemon unless the upstream still responds.
  void OnLinksLost();

  /// Ends the request since the process exits.
  void OnStop();

  /// Ends the request with an error of the gateway itself.
  void Refuse(ResultCode code, std::string message, RequestOutcome outcome,
              std::optional<Duration> retry_after);

 private:
  /// One attempt to serve the request at one upstream.
  struct Attempt {
    UpstreamEntry upstream;
    PickTicket ticket;
    /// This daemon's requests at the upstream when the attempt was sent.
    std::int64_t in_flight = 0;
    double prefill_tokens = 0;  ///< Prompt tokens estimated not to be cached.
    /// Requests per second that the upstream had announced to accept when the
    /// attempt was sent; 0 without a limit.
    double rate_limit = 0;
    bool has_permit = false;  ///< For this limit.
    std::unique_ptr<HttpCall> call;
    TimePoint sent_at;
    TimePoint last_byte_at;  ///< Of the response; `sent_at` before the first.
    std::optional<TimePoint> head_at;  ///< Arrival of the response head.
    std::optional<UpstreamResponseHead> head;
    std::string body;              ///< Body of a response that is no stream.
    bool is_event_stream = false;  ///< The response is forwarded by event.
    bool is_mismatched = false;    ///< The response is to another request.
    /// Not sent, since the key or the upstream was no longer usable.
    bool send_cancelled = false;
    std::optional<HttpCallEnd> end;  ///< Unset while the attempt runs.
  };

  /// The request's way through another daemon.
  struct Delegation {
    PeerAddress peer;
    std::unique_ptr<PeerStream> stream;
    TimePoint sent_at;
    TimePoint last_message_at;  ///< `sent_at` before the first message.
    bool accepted = false;
    bool stream_started = false;
  };

  [[nodiscard]] bool IsStream() const {
    return admission_.route->kind == RequestKind::kStream;
  }
  /// Finds out which software version began the resumed stream.
  void ResolveVersion();
  void OnVersionResolved(const StreamVersions::Resolution& resolution);
  /// Binds the stream to the version of the upstream that wrote its first
  /// event, before the event is forwarded.
  void BindVersion();
  void RecordVersion();
  [[nodiscard]] std::string KeyOfStream() const;
  /// Whether the upstream was replaced under the same id by one of another
  /// version that may have written the events.
  [[nodiscard]] bool IsVersionDoubtful() const;
  /// Whether another instance is registered under the id of `upstream` by now.
  [[nodiscard]] bool WasReplaced(const UpstreamEntry& upstream) const;
  /// Keeps all daemons from resuming the stream if its version is doubtful.
  void RecordDoubt();
  [[nodiscard]] int PriorityOfAttempt() const;
  void ChargeQuota(bool may_wait);
  /// Waits for the reply to the next report, for `kGrantTimeout` in all.
  void AwaitQuotaGrant();
  /// Continues a request that waits for a quota. `may_wait`: whether it has
  /// time left to wait for a further reply.
  void OnQuotaGrant(bool may_wait);
  void Forward();
  [[nodiscard]] PickRequest MakePickRequest() const;
  /// Whether the configuration is recent enough for the key to be accepted.
  [[nodiscard]] bool CanVerifyKey() const;
  /// Whether the upstream of the current attempt is leaving.
  [[nodiscard]] bool IsLeaving() const;
  /// Sends the request to the best remaining upstream, after probing the load
  /// of some engines if slots are scarce.
  void TryNextUpstream();
  void OnProbeResult();
  void SendToBestUpstream();
  /// Waits for the coordinator to grant a permit for one of `upstreams`, if it
  /// may; returns false if the request is not to wait.
  bool AwaitPermit(const std::vector<UpstreamEntry>& upstreams, TimePoint now);
  /// Waits for a slot of a brittle upstream while the request can still be
  /// served; returns false if it is not to wait.
  bool AwaitSlot(TimePoint now);
  void RefuseWithoutUpstream(bool rate_limited);
  /// Rejects the request if what it holds crashes upstreams. Returns whether it
  /// did.
  bool RejectQuarantined();
  /// Records what the end of the attempt says about what crashes upstreams.
  void RecordEvidence(const AttemptEnd& end);
  /// Whether the request may be sent to another upstream after it ran on one.
  [[nodiscard]] bool MayRunAgain() const;
  /// Whether the current attempt may be sent under the rate limit of its
  /// upstream, which may have become known after the upstream was chosen.
  bool EnsurePermit();
  void ReturnUnusedPermit();
  [[nodiscard]] RequestOutcome OutcomeSoFar() const;
  /// Takes `upstream` by value since it may be a member of the current attempt,
  /// which is replaced.
  void Send(UpstreamEntry upstream,
            const std::optional<KvCacheCopy>& copy = std::nullopt);
  [[nodiscard]] bool WillFinishBefore(TimePoint ends_at,
                                      std::int64_t tokens_per_event) const;
  void StartMove(TimePoint ends_at, std::int64_t tokens_per_event);
  void OnMoveResult(const HttpFetchResult& result, const UpstreamEntry& target);
  /// Continues a stopped request at `upstream` from the KV cache copy `handle`.
  void ContinueAt(const UpstreamEntry& upstream, const std::string& handle);
  [[nodiscard]] HttpCallTimeouts TimeoutsAt(TimePoint now) const;
  void OnHead(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  void OnEvents(const std::string& events);
  void OnEnd(HttpCallEnd end);
  void ForwardAnswer(const AttemptDecision& decision);
  void FailRequest(const AttemptDecision& decision);
  [[nodiscard]] Duration RetryDelay() const;
  void AbortStream(ResultCode code);
  void OnTimeout();
  /// Whether this daemon may send the request to an upstream itself.
  [[nodiscard]] bool IsLinkUsable(TimePoint now) const;
  /// Whether another daemon may serve the request.
  [[nodiscard]] bool HasPeer(TimePoint now) const;
  /// If this daemon does not reach the service's upstreams, has another daemon
  /// serve the request, or refuses it. Returns whether it did.
  bool LeaveToPeer(TimePoint now);
  /// If there is no upstream left and this daemon may have lost its links, does
  /// the same. Returns whether it did.
  bool LeaveLastToPeer(TimePoint now);
  /// Leaves a request of another daemon to its sender, unless it may have run.
  bool ReturnToSender();
  /// Returns false if there is no daemon that may serve the request.
  bool Delegate(TimePoint now);
  /// Ends the wait for a peer that does not respond.
  void CheckDelegation(TimePoint sent_at);
  /// Whether the request could go on without the peer that has it.
  [[nodiscard]] bool CanLeavePeer(TimePoint now);
  /// Silence after which a peer that accepted the request has failed.
  [[nodiscard]] Duration PeerSilenceBound() const;
  void OnDelegationMessage(const QByteArray& bytes);
  void ForwardDelegatedResponse(const HttpResponse& response);
  void OnDelegationEnd(PeerStatus status);
  /// The peer did not and will not serve the request.
  void OnPeerRefused(PeerRefusal reason);
  /// The response of the peer was cut: it may have served the request.
  void OnDelegationBroken();
  void EndDelegation();
  /// Records what the end of the attempt says about the links to upstreams.
  void RecordLinkEvidence(const AttemptEnd& end) const;
  void StartAnswer(int status, const HttpHeaders& headers, TimePoint now);
  void ForwardEvents(const std::string& events, TimePoint now);
  /// Ends the request whether or not an upstream still works on it.
  /// `code_if_not_run`: for a request that no upstream may have received.
  void GiveUp(ResultCode code, ResultCode code_if_not_run, std::string message);
  /// Time that is left for a started stream; 0 or less when its route's timeout
  /// has passed, of the configuration that it was admitted under and of the
  /// newest one.
  [[nodiscard]] Duration RemainingStreamTime(TimePoint now) const;
  /// Whether the end of the current attempt counts towards the route's limit.
  [[nodiscard]] bool CountsAsAttempt() const;
  /// Whether another upstream could go on with the request now if its current
  /// attempt were given up.
  [[nodiscard]] bool CanGoOnElsewhere() const;
  void OnCallerDisconnected();
  [[nodiscard]] AttemptEnd MakeAttemptEnd(HttpCallEnd end) const;
  [[nodiscard]] AttemptContext MakeAttemptContext(const AttemptEnd& end,
                                                  TimePoint now) const;
  [[nodiscard]] UpstreamOutcome UpstreamOutcomeOf(const AttemptEnd& end) const;
  void CountUsage();
  void Finish(ResultCode code, std::string_view outcome);
  void LogAttempt(const AttemptEnd& end, const AttemptDecision& decision) const;
  void LogRequest(ResultCode code, std::string_view outcome,
                  TimePoint now) const;
  /// Logs that the caller's connection closes without a complete response, by
  /// whom ("caller" or "daemon") and for what `reason`.
  void LogCut(std::string_view by, std::string_view reason) const;

  GatewayContext* context_;
  ForwardRequest request_;
  // Keeps the configuration alive to which `admission_` points.
  std::shared_ptr<const RouteTable> table_;
  RequestAdmission admission_;
  std::string service_;
  std::vector<Suspect> suspects_;  ///< What in it may crash upstreams.
  std::shared_ptr<ResponseWriter> responder_;
  TimePoint started_at_;
  TimePoint ends_at_;
  QTimer timer_;
  std::optional<Origin> origin_;
  Attempt attempt_;
  std::optional<Delegation> delegation_;
  std::set<std::string> refusing_peers_;  ///< Daemons that did not serve it.
  std::string last_peer_;    ///< Daemon that it was last delegated to.
  int unsent_attempts_ = 0;  ///< Attempts that found no connection.
  std::unique_ptr<HttpCall> move_call_;
  std::optional<HttpCallEnd> end_during_move_;
  std::set<std::string> tried_upstreams_;
  /// Upstreams left while they were silent, and for how many ms they were.
  std::string left_silent_;
  /// Of these, those to which this daemon found no connection.
  std::set<std::string> unreached_upstreams_;
  EventRelay relay_;
  /// Software version that wrote the stream so far; empty before its first
  /// event.
  std::optional<std::string> version_;
  std::optional<TimePoint> first_event_;
  TimePoint last_event_;
  Duration longest_pause_{0};  ///< Between two events.
  int sends_ = 0;              ///< Attempts that may have sent bytes.
  int counted_attempts_ = 0;  ///< Of these, without those to leaving upstreams.
  bool may_have_run_ = false;
  bool usage_counted_ = false;
  bool answer_started_ = false;
  bool caller_disconnected_ = false;
  double quota_tokens_ = 0;  ///< Charged to the workspace's quota.
  bool waiting_for_quota_ = false;
  bool has_waited_for_quota_ = false;
  bool waiting_for_permit_ = false;
  bool waiting_for_slot_ = false;
  std::optional<TimePoint> slot_wait_ends_at_;  ///< Set at the first wait.
  int crashed_attempts_ = 0;     ///< Attempts whose connection broke.
  bool permit_awaited_ = false;  ///< A request waits for a permit only once.
  /// Better upstreams that were passed over for want of a permit, in the last
  /// choice.
  std::vector<UpstreamEntry> without_permit_;
  std::size_t probes_sent_ = 0;
  std::size_t probes_pending_ = 0;
  Duration expected_wait_{0};  ///< For an engine slot, when it was sent.
  bool finished_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
