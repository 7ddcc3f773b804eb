#ifndef FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
#define FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_

#include <QTimer>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "details/attempts_in_flight.h"
#include "details/delegated_response_writer.h"
#include "details/gateway_context.h"
#include "details/held_response_writer.h"
#include "details/request_timeouts.h"
#include "gateway/event_relay.h"
#include "gateway/event_sequence.h"
#include "gateway/request_admission.h"
#include "quarantine/suspect.h"
#include "serving/attempt_race.h"
#include "serving/caller_flow.h"
#include "serving/tried_upstreams.h"

namespace firmoor::details {

/// One caller's request, from its admission to its final response: sends it to
/// upstreams as far as the attempt policy allows, to a second one while the
/// first is silent, and forwards the response. Kept alive by the context until
/// it ends.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 public UpstreamAttempt::Owner {
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

  /// More is known of ends like the one that is awaited.
  void OnEndEvidence();
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
  /// the stream, its version is not known for sure any more. Ends attempts
  /// whose events may be of another version than those that the caller has.
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
  [[nodiscard]] bool IsStream() const {
    return admission_.route->kind == RequestKind::kStream;
  }
  /// Whether it is known where another run goes on: events without ids cannot
  /// be told from its own.
  [[nodiscard]] bool HasPlace() const {
    return events_ == 0 || !last_event_id_.empty();
  }
  /// Finds out which software version began the resumed stream.
  void ResolveVersion();
  void OnVersionResolved(const StreamVersions::Resolution& resolution);
  /// Binds the stream to the version of the upstream that wrote its first
  /// event, before the event is forwarded.
  void BindVersion();
  /// Tells other daemons of the version. `done`: see `StreamVersions::Record`.
  void RecordVersion(StreamVersions::Recorded done = nullptr);
  /// Nobody could be told of the version of a stream that is kept back.
  void OnRecordLost();
  [[nodiscard]] std::string KeyOfStream() const;
  /// Whether the upstream was replaced under the same id by one of another
  /// version that may have written the events.
  [[nodiscard]] bool IsVersionDoubtful() const;
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
  /// The only version at which the stream may begin, while this daemon can tell
  /// no other of its version; empty if any will do.
  [[nodiscard]] std::optional<std::string> VersionToBegin() const;
  /// Whether the configuration is recent enough for the key to be accepted.
  [[nodiscard]] bool CanVerifyKey() const;
  /// Sends the request to the best remaining upstream, after probing the load
  /// of some engines if slots are scarce.
  void TryNextUpstream();
  void OnProbeResult();
  void SendToBestUpstream();
  /// Decides whether the request is refused, as `upstream`, the best one, has
  /// too little room for it. Returns the time after which the caller may come
  /// back; empty if it is sent.
  std::optional<Duration> RefusalForShortage(const UpstreamEntry& upstream,
                                             TimePoint now);
  /// The same where requests of several priorities compete.
  std::optional<Duration> RefusalByUrgency(const UpstreamEntry& upstream,
                                           TimePoint now);
  void LogShortage(const ShortageRequest& asked,
                   const ShortageDecision& decision) const;
  /// Waits for the coordinator to grant a permit for one of `upstreams`, if it
  /// may; returns false if the request is not to wait.
  bool AwaitPermit(const std::vector<UpstreamEntry>& upstreams, TimePoint now);
  /// Waits for a slot of a brittle upstream while the request can still be
  /// served; returns false if it is not to wait.
  bool AwaitSlot(TimePoint now);
  /// No further attempt can start: refuses the request, unless one is in
  /// flight.
  void RefuseFurtherAttempt(ResultCode code, std::string message,
                            std::optional<Duration> retry_after);
  void RefuseWithoutUpstream(bool rate_limited);
  /// Waits until upstreams that were not reached are to be tried again, if the
  /// request has no other way left to be completed or refused as not run.
  /// Returns whether it does.
  bool AwaitUnreached();
  /// Rejects the request if what it holds crashes upstreams. Returns whether it
  /// did.
  bool RejectQuarantined();
  /// Whether the request may be sent to another upstream after it ran on one.
  [[nodiscard]] bool MayRunAgain() const;
  [[nodiscard]] RequestOutcome OutcomeSoFar() const;
  void Send(const UpstreamEntry& upstream,
            const std::optional<KvCacheCopy>& copy = std::nullopt);
  [[nodiscard]] bool WillFinishBefore(TimePoint ends_at,
                                      std::int64_t tokens_per_event) const;
  void ScheduleMove(const std::string& source, Duration wait, TimePoint ends_at,
                    std::int64_t tokens_per_event);
  void StartMove(const std::string& source, TimePoint ends_at,
                 std::int64_t tokens_per_event);
  void OnMoveResult(const HttpFetchResult& result, const UpstreamEntry& target);
  /// Continues the request that `source` has stopped at `upstream` from the KV
  /// cache copy `handle`.
  void ContinueAt(const std::shared_ptr<UpstreamAttempt>& source,
                  const UpstreamEntry& upstream, const std::string& handle);
  bool MaySend(const UpstreamAttempt& attempt) override;
  void OnByte(const UpstreamAttempt& attempt) override;
  void OnSilent(const UpstreamAttempt& attempt) override;
  void OnEvents(const UpstreamAttempt& attempt,
                const NewEvents& events) override;
  void OnEnd(const UpstreamAttempt& attempt, HttpCallEnd end) override;
  [[nodiscard]] bool IsOrderedToStop(
      const UpstreamAttempt& attempt) const override {
    return attempt.number() == ordered_attempt_;
  }
  void HandleEnd(const UpstreamAttempt& attempt, HttpCallEnd end);
  /// What decisions on attempts depend on.
  [[nodiscard]] AttemptRace::Conditions MakeConditions() const;
  /// Whether the request may be sent to one upstream more, and there is one.
  [[nodiscard]] bool HasFurtherUpstream(
      const AttemptRace::Conditions& conditions) const;
  /// An upstream that ran the request before that of `attempt`, to be asked
  /// what follows if no further one may be. At most once.
  [[nodiscard]] std::optional<UpstreamEntry> FindEarlierUpstream(
      const UpstreamAttempt& attempt) const;
  /// Whether another attempt may start beside those in flight, and would find
  /// an upstream or a peer.
  [[nodiscard]] bool MayStartBeside() const;
  /// Starts another attempt if all in flight are silent and it may.
  void StartBeside();
  /// After an attempt has ended that is not to fail the request: tries the next
  /// upstream, beside the attempts in flight if they are silent.
  void GoOn();
  /// Takes the retry from the budget that the next attempt needs. Returns
  /// whether it has one or needs none.
  bool TakeRetry();
  /// Gives back what was taken from the budget for attempts that were not sent.
  void ReturnUnusedRetries();
  /// Cancels the attempts that `winner` has overtaken. `by`: its upstream or
  /// daemon.
  void CancelOvertaken(int winner, const std::string& by,
                       const std::vector<int>& overtaken);
  /// Gives up the places of all attempts in flight.
  void ReleaseAttempts();
  void ForwardAnswer(const UpstreamAttempt& attempt, const AttemptEnd& end);
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
  /// Starts another attempt beside a peer that does not respond.
  void CheckDelegation(int number);
  void OnDelegationMessage(int number, const QByteArray& bytes);
  void ForwardDelegatedEvents(int number, const std::string& bytes);
  void ForwardDelegatedResponse(int number, const HttpResponse& response);
  void FinishDelegatedStream(int number);
  /// Has the stream of the peer go on with the request.
  void AdoptDelegation(int number);
  void OnDelegationEnd(int number, PeerStatus status);
  /// The peer did not and will not serve the request.
  void OnPeerRefused(int number, PeerRefusal reason);
  /// The response of the peer was cut: it may have served the request.
  void OnDelegationBroken(int number);
  void EndDelegation(int number);
  void EndDelegations();
  void StartAnswer(int status, const HttpHeaders& headers, TimePoint now);
  /// Records what the end of an attempt says about the one before it, and
  /// whether the stream may be complete now.
  void RecordCompletion(const UpstreamAttempt& attempt, const AttemptEnd& end,
                        TimePoint now);
  /// Attempts in a row that upstreams that run closed in order behind the last
  /// event that the caller has.
  [[nodiscard]] int EarlierCloses() const;
  /// Records what an upstream or daemon, `shown_by`, has shown of the stream's
  /// end, if that was doubted.
  void VerifyEnd(StreamEndSign sign, const std::string& shown_by,
                 TimePoint now);
  /// Records that something follows the events of a stream.
  void OnMoreFollows(const std::string& shown_by, TimePoint now);
  /// Records how the stream ends towards its caller.
  void RecordStreamEnd(StreamEndForm form, StreamEndBasis basis);
  /// Ends a stream as complete.
  void FinishStream(StreamEndBasis basis);
  /// Why an end like that of the stream is not believed now.
  [[nodiscard]] EndDoubt DoubtOfWriter() const;
  /// Whether all that is missing is what other streams may show shortly. If
  /// not, the caller is counted as one that may return.
  [[nodiscard]] bool MayAwaitEnd();
  /// Leaves the stream open until its end is believed or doubted, for a second
  /// at most; it is then broken off for `code`.
  void AwaitEnd(ResultCode code);
  void EndWait();
  /// `source`: upstream or daemon that sent them.
  void ForwardEvents(const NewEvents& events, const std::string& source,
                     TimePoint now);
  /// Pauses the upstreams of a caller that takes the stream more slowly than
  /// they send, or lets them go on.
  void UpdateFlow();
  /// Ends a stream whose caller has taken nothing for too long.
  void OnStallTimer();
  /// Ends the request whether or not an upstream still works on it.
  /// `code_if_not_run`: for a request that no upstream may have received.
  void GiveUp(ResultCode code, ResultCode code_if_not_run, std::string message);
  void OnCallerDisconnected();
  void CountUsage();
  void Finish(ResultCode code, std::string_view outcome);
  void LogAttempt(const UpstreamAttempt& attempt, const AttemptEnd& end,
                  const AttemptRace::Decision& decision,
                  const AttemptRace::Conditions& conditions) const;
  /// Records an attempt that starts beside a silent one, if there is one.
  void RecordStart();
  void RecordOvertaken(const std::string& by, const std::string& overtaken,
                       bool sent, Duration silent);
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
  std::shared_ptr<HeldResponseWriter> responder_;
  TimePoint started_at_;
  TimePoint ends_at_;
  QTimer timer_;
  QTimer stall_timer_;
  CallerFlow flow_;
  std::optional<Origin> origin_;
  AttemptRace race_;
  AttemptsInFlight attempts_;
  std::optional<StreamWriter> writer_;
  /// The last answer that reports an error, for when nothing else answers.
  std::optional<HttpResponse> failed_answer_;
  int started_beside_ = 0;  ///< Attempts started beside a silent one.
  std::set<std::string> refusing_peers_;  ///< Daemons that did not serve it.
  std::string last_peer_;    ///< Daemon that it was last delegated to.
  int unsent_attempts_ = 0;  ///< Attempts that found no connection.
  std::optional<PendingMove> move_;
  /// Attempt that its upstream may stop, as it was ordered to move it.
  int ordered_attempt_ = 0;
  TriedUpstreams tried_;
  /// Attempts that were overtaken, and for how many ms they had been silent.
  std::string left_silent_;
  std::string last_event_id_;  ///< Of the events that the caller has.
  std::size_t events_ = 0;     ///< Forwarded.
  EventSequence sequence_;     ///< Of those.
  /// Software version that wrote the stream so far; empty before its first
  /// event.
  std::optional<std::string> version_;
  /// Daemons that were told of it, for the log.
  std::string record_holders_;
  std::optional<TimePoint> first_event_;
  TimePoint last_event_;
  Duration longest_pause_{0};  ///< Between two events.
  bool usage_counted_ = false;
  struct StreamEnd {
    StreamEndForm form;
    StreamEndBasis basis;
  };
  std::optional<StreamEnd> stream_end_;  ///< Unset before it has ended.
  /// Why the end of the last attempt is not believed, if it has ended.
  EndDoubt doubt_ = EndDoubt::kNone;
  bool answer_started_ = false;
  /// The end of a stream of which only its close shows that it is complete.
  struct UnverifiedEnd {
    CloseDelimitedStreams::Writer writer;
    std::string upstream;  ///< Empty if the caller got it by an earlier answer.
    bool is_trusted;       ///< It is complete unless something follows it.
    bool is_alive;         ///< The upstream runs, and stays.
    int closes;            ///< In order at this place, in a row.
  };
  /// Set while the events that the caller has may be all.
  std::optional<UnverifiedEnd> unverified_end_;
  bool asked_earlier_ = false;  ///< See `FindEarlierUpstream`.
  bool may_await_end_ = true;
  std::optional<ResultCode> awaited_end_;  ///< Set while it is awaited.
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
  /// Whether its attempt is to go to the target of the service's roll-out.
  bool to_target_ = false;
  bool counted_for_rollout_ = false;
  std::size_t probes_sent_ = 0;
  std::size_t probes_pending_ = 0;
  Duration expected_wait_{0};       ///< For an engine slot, when it was sent.
  bool counted_as_demand_ = false;  ///< In the admission level.
  /// Priority at upstreams, if a shortage changes it.
  std::optional<int> shortage_priority_;
  bool finished_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_EXCHANGE_H_
