#ifndef FIRMOOR_GATEWAY_DETAILS_UPSTREAM_ATTEMPT_H_
#define FIRMOOR_GATEWAY_DETAILS_UPSTREAM_ATTEMPT_H_

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "details/gateway_context.h"
#include "details/upstream_probe.h"
#include "details/upstream_watch.h"
#include "gateway/event_relay.h"
#include "quarantine/suspect.h"
#include "serving/attempt_policy.h"

namespace firmoor::details {

/// Complete events of a stream that the caller does not have yet.
struct NewEvents {
  std::string bytes;      ///< With the comments between them.
  std::size_t count = 0;  ///< 0: comments only.
  std::string last_id;    ///< Id of the last one.

  bool operator==(const NewEvents&) const = default;
};

/// The events that `bytes` complete in `relay`.
NewEvents FeedEvents(EventRelay* relay, std::string_view bytes);

/// Time-outs of an attempt of a request that has `left` until it ends.
HttpCallTimeouts AttemptTimeouts(const Route& route, Duration left);

/// Whether a request that was sent to `upstream` at `sent_at` may have reached
/// an instance of another software version, which is registered under its id
/// now.
bool MayHaveReachedOtherVersion(const GatewayContext& context,
                                const UpstreamEntry& upstream,
                                TimePoint sent_at);

/// One attempt to serve a request at one upstream: its call, its place at the
/// upstream, its permit, and what its end tells about the upstream.
class UpstreamAttempt {
 public:
  /// Gets what happens to the attempt; may delete it in `OnEnd` only.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Asked right before the request is written.
    virtual bool MaySend(const UpstreamAttempt& attempt) = 0;
    virtual void OnByte(const UpstreamAttempt& attempt) = 0;
    /// The upstream has been silent for its time-out; called again each time
    /// it expires.
    virtual void OnSilent(const UpstreamAttempt& attempt) = 0;
    virtual void OnEvents(const UpstreamAttempt& attempt,
                          const NewEvents& events) = 0;
    virtual void OnEnd(const UpstreamAttempt& attempt, HttpCallEnd end) = 0;
    /// Whether the upstream was ordered to stop the attempt, so that its close
    /// says nothing of how it ends others.
    [[nodiscard]] virtual bool IsOrderedToStop(
        const UpstreamAttempt& attempt) const = 0;
  };
  struct Plan {
    UpstreamEntry upstream;
    PickRequest pick;
    UpstreamCall call;
    std::string route;  ///< Its name.
    HttpCallTimeouts timeouts;
    bool is_stream = false;
    bool may_repeat = false;
  };

  /// Takes a place at the upstream, which `Release` gives up, and a permit if
  /// it needs one. Deleting the attempt cancels its call. `context`,
  /// `request` and `owner` must outlive the attempt.
  UpstreamAttempt(GatewayContext* context, const ForwardRequest& request,
                  Plan plan, Owner* owner);
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Starts the call. `number`: by which the owner knows the attempt.
  void Start(int number);
  /// Ends the attempt, perhaps before its call has ended.
  void End(HttpCallEnd end);
  /// Closes the connection; the owner hears no more of the attempt.
  void Cancel();
  /// Stops or resumes reading the response, for a caller that takes it slowly.
  /// Meanwhile the attempt is not silent.
  void SetPaused(bool paused);
  /// Gives up the place at the upstream, and the permit if it was not used.
  /// `rejected`: the upstream had no room.
  void Release(UpstreamOutcome outcome, bool rejected, TimePoint now);

  [[nodiscard]] int number() const { return number_; }
  [[nodiscard]] const UpstreamEntry& upstream() const { return plan_.upstream; }
  [[nodiscard]] TimePoint sent_at() const { return sent_at_; }
  /// From `sent_at`, the choice of the upstream, to when a connection took the
  /// request; none before.
  [[nodiscard]] std::optional<Duration> TimeToWrite() const;
  /// Of the response; `sent_at` before the first.
  [[nodiscard]] TimePoint last_byte_at() const { return last_byte_at_; }
  /// Unset while the attempt runs.
  [[nodiscard]] const std::optional<HttpCallEnd>& end() const { return end_; }
  [[nodiscard]] const std::optional<UpstreamResponseHead>& head() const {
    return head_;
  }
  /// A complete response that is no event stream.
  [[nodiscard]] HttpResponse Answer() const {
    return {head_->status, head_->headers, body_};
  }
  /// What that takes of the memory for responses.
  [[nodiscard]] const std::shared_ptr<BodyBudget::Share>& body_share() const {
    return body_share_;
  }
  /// Whether the end of the connection is the only sign that the response is
  /// complete.
  [[nodiscard]] bool EndsWithConnection() const {
    return call_ && call_->IsDelimitedByClose();
  }
  /// Whether the upstream was asked what follows an event, and had nothing.
  [[nodiscard]] bool HasNothingMore() const {
    return is_event_stream_ && !plan_.call.last_event_id.empty() &&
           !relay_.has_received_event() && IsEndCredible();
  }
  /// Whether the end of the response is marked, or its upstream is known to run
  /// and to stay.
  [[nodiscard]] bool IsEndCredible() const {
    return !EndsWithConnection() || (RanAtEnd() && !IsLeaving());
  }
  /// Whether the process of the upstream is known to have run behind the close.
  [[nodiscard]] bool RanAtEnd() const {
    return state_at_end_ == UpstreamState::kRuns ||
           close_origin_ == CloseOrigin::kProcess;
  }
  /// Whether its upstream was gone when it was asked behind the close.
  [[nodiscard]] bool WasFoundGone() const {
    return state_at_end_ == UpstreamState::kGone && !RanAtEnd();
  }
  /// Why the end of the response is not believed, for logs and metrics.
  [[nodiscard]] EndDoubt DoubtOfEnd() const;
  /// What is known of ends like that of the response.
  [[nodiscard]] CloseDelimitedStreams::Evidence EvidenceOfEnd() const;
  /// The software that writes the response.
  [[nodiscard]] CloseDelimitedStreams::Writer writer() const {
    return {plan_.upstream.service, plan_.upstream.software_version};
  }
  /// Whether the response is forwarded by event.
  [[nodiscard]] bool is_event_stream() const { return is_event_stream_; }
  /// Whether the response has ended within an event.
  [[nodiscard]] bool HasPartialEvent() const {
    return is_event_stream_ && relay_.HasBegunEvent();
  }
  /// Whether a part of the next event has arrived.
  [[nodiscard]] bool HasBegunEvent() const {
    return !end_ && is_event_stream_ && relay_.HasBegunEvent();
  }
  /// This daemon's requests at the upstream when the attempt was sent.
  [[nodiscard]] std::int64_t requests_before() const { return in_flight_; }
  /// Prompt tokens estimated not to be cached.
  [[nodiscard]] double prefill_tokens() const { return prefill_tokens_; }
  /// Requests per second that the upstream had announced to accept; 0 without
  /// a limit.
  [[nodiscard]] double rate_limit() const { return rate_limit_; }
  [[nodiscard]] bool send_cancelled() const { return send_cancelled_; }
  [[nodiscard]] bool MayHaveBeenSent() const;
  /// Whether it counts towards the route's limit of attempts.
  [[nodiscard]] bool Counts() const;
  /// Whether another instance is registered under the upstream's id by now.
  [[nodiscard]] bool WasReplaced() const;
  [[nodiscard]] bool MayHaveReachedOtherVersion() const;
  /// Whether the upstream has been silent for its time-out.
  [[nodiscard]] bool is_silent() const { return is_silent_; }
  /// Whether no byte has arrived for `time` since the request was sent.
  [[nodiscard]] bool IsSilentFor(Duration time, TimePoint now) const;

  /// `forwarded_events`: of the whole response, by all attempts.
  /// `earlier_closes`: attempts in a row that upstreams that run closed in
  /// order behind the same event before.
  [[nodiscard]] AttemptEnd DescribeEnd(HttpCallEnd end, bool answer_started,
                                       std::size_t forwarded_events,
                                       int earlier_closes) const;
  [[nodiscard]] UpstreamOutcome OutcomeFor(const AttemptEnd& end) const;
  /// Whether the upstream had no room for the request.
  [[nodiscard]] bool WasRejected(const AttemptEnd& end) const;
  /// Records what the end says about what crashes upstreams. Returns whether
  /// the connection broke as in a crash.
  bool RecordEvidence(const AttemptEnd& end,
                      const std::vector<Suspect>& suspects) const;
  /// Records what the end says about the links to upstreams.
  void RecordLinkEvidence(const AttemptEnd& end) const;

 private:
  /// Records the time to the first part of the response, or between events,
  /// once each, for the comparison of software versions.
  void RecordFirstPart(TimePoint now);
  void RecordGap(TimePoint now);
  /// Records how the attempt ended, for the same.
  void RecordForRollout(TimePoint now);
  void OnHead(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  /// Collects a response that is no event stream.
  void Collect(std::string_view bytes);
  /// Takes the memory for what was collected. While it is short, the upstream
  /// is not read.
  void TakeMemory();
  void OnCallEnd(HttpCallEnd end);
  /// Asks the upstream whose response ended with its connection whether it
  /// runs, before the attempt ends.
  void ProbeUpstream();
  /// Ends a response that its close ended, and whose upstream is now in
  /// `state`.
  void OnProbed(UpstreamState state, PreciseTimePoint closed_at);
  /// Its upstream leaves; `origin` tells who closed the connection.
  void OnDeparture(CloseOrigin origin, PreciseTimePoint closed_at);
  /// The same, once it is known what the close shows.
  void EndUnmarked(PreciseTimePoint closed_at);
  /// Tells what is known of a response without a marked end.
  void LogUnmarkedEnd(PreciseTimePoint closed_at) const;
  /// Lets the events of a stream without a marked end tell whether its upstream
  /// runs.
  void WatchUnmarked(bool has_events);
  /// Records that a stream which only its close ends was cut, if its upstream
  /// runs.
  void ObserveCut(HttpCallEnd end) const;
  [[nodiscard]] EndCredibility JudgeEnd(int earlier_closes) const;
  bool MaySend();
  [[nodiscard]] bool IsLeaving() const;
  /// Whether the instance leaves, or is no longer registered.
  [[nodiscard]] bool IsDeparting() const;
  /// Whether the request may be sent under the rate limit of the upstream,
  /// which may have become known after it was chosen.
  bool EnsurePermit();

  GatewayContext* context_;
  const ForwardRequest& request_;
  Plan plan_;
  Owner* owner_;
  int number_ = 0;
  PickTicket ticket_;
  std::int64_t in_flight_ = 0;
  double prefill_tokens_ = 0;
  double rate_limit_ = 0;
  bool has_permit_ = false;  ///< For this limit.
  TimePoint sent_at_;
  std::optional<TimePoint> written_at_;
  TimePoint last_byte_at_;
  std::optional<TimePoint> head_at_;
  std::optional<UpstreamResponseHead> head_;
  std::string body_;
  /// Of the memory for `body_`.
  std::shared_ptr<BodyBudget::Share> body_share_;
  std::size_t unshared_bytes_ = 0;  ///< Of `body_`, not yet in `body_share_`.
  QTimer memory_timer_;             ///< Runs while memory is waited for.
  EventRelay relay_;
  bool is_event_stream_ = false;
  bool is_silent_ = false;
  bool is_paused_ = false;
  std::optional<TimePoint> first_part_at_;
  bool gap_recorded_ = false;
  /// Of the upstream when it was asked, if the response has ended with its
  /// connection.
  UpstreamState state_at_end_ = UpstreamState::kUnknown;
  /// Of a stream whose upstream leaves.
  CloseOrigin close_origin_ = CloseOrigin::kUndecided;
  EventRhythm rhythm_;  ///< Of a stream without a marked end.
  /// Of a stream without a marked end, from its first bytes on.
  std::unique_ptr<UpstreamWatch::Stream> watch_;
  bool is_mismatched_ = false;  ///< The response is to another request.
  /// Not sent, since the key or the upstream was no longer usable.
  bool send_cancelled_ = false;
  std::optional<HttpCallEnd> end_;
  std::unique_ptr<HttpCall> call_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_UPSTREAM_ATTEMPT_H_
