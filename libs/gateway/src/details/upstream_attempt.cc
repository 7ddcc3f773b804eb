#include "details/upstream_attempt.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace firmoor::details {
namespace {

// An upstream answers within a round trip and a step of its engine.
constexpr Duration kProbeTimeout{300};
// A busy one takes longer. The caller has all events that there may be.
constexpr Duration kStreamProbeTimeout{1'000};
// Scale of the paces by which software versions are compared; both versions are
// measured by the same.
constexpr double kUsualAnswerMs = 25;
// Canaries may be farther away than the upstreams that requests usually go to:
// added to both times, so that two ways between regions are no fault.
constexpr double kDistanceMs = 40;
constexpr double kUsualPrefillTokensPerMs = 50;
// Events after which the time between them is known well enough.
constexpr std::size_t kEventsOfGap = 5;

}  // namespace

NewEvents FeedEvents(EventRelay* relay, std::string_view bytes) {
  const auto before = relay->events();
  NewEvents events;
  events.bytes = relay->Feed(bytes);
  events.count = relay->events() - before;
  events.last_id = relay->last_event_id();
  return events;
}

HttpCallTimeouts AttemptTimeouts(const Route& route, Duration left) {
  // Connecting takes a few ms within a region and 40 ms between regions; a
  // longer time means a lost packet or a dead upstream.
  constexpr Duration kConnectTimeout{400};
  // Time without a byte after which a second attempt of a repeatable request
  // starts: well above what a busy engine needs, and below the callers'
  // timeouts.
  constexpr int kFirstByteTimeoutObjectives = 3;
  constexpr Duration kStreamIdleTimeout{1'500};
  HttpCallTimeouts times{std::min(kConnectTimeout, left), left, left};
  if (!route.MayRepeat()) return times;
  times.first_byte =
      std::min(left, route.objective * kFirstByteTimeoutObjectives);
  if (route.kind == RequestKind::kStream) {
    times.idle = std::min(left, kStreamIdleTimeout);
  }
  return times;
}

bool MayHaveReachedOtherVersion(const GatewayContext& context,
                                const UpstreamEntry& upstream,
                                TimePoint sent_at) {
  const auto* entry = context.catalog.Find(upstream.id);
  const bool was_replaced =
      entry != nullptr && entry->born_ms != upstream.born_ms &&
      entry->software_version != upstream.software_version;
  return was_replaced &&
         entry->born_ms <=
             context.environment.true_time->At(sent_at) + kClockToleranceMs;
}

UpstreamAttempt::UpstreamAttempt(GatewayContext* context,
                                 const ForwardRequest& request, Plan plan,
                                 Owner* owner)
    : context_(context),
      request_(request),
      plan_(std::move(plan)),
      owner_(owner),
      in_flight_(context->picker.InFlight(plan_.upstream.id)),
      sent_at_(MonotonicNow()),
      last_byte_at_(sent_at_),
      body_share_(std::make_shared<BodyBudget::Share>(context->answer_budget)),
      relay_(plan_.call.last_event_id) {
  QObject::connect(&memory_timer_, &QTimer::timeout, &memory_timer_,
                   [this] { TakeMemory(); });
  ticket_ = context_->StartAttempt(plan_.upstream, plan_.pick, sent_at_);
  prefill_tokens_ = ticket_.prefill_tokens;
  EnsurePermit();
}

void UpstreamAttempt::Start(int number) {
  number_ = number;
  auto builder = HttpCall::Builder(
      plan_.upstream.endpoint,
      context_->environment.dialect->EncodeRequest(request_, plan_.call));
  builder.Host(request_.host)
      .Timeouts(plan_.timeouts)
      .EndIfSilent([this] {
        is_silent_ = true;
        RecordFirstPart(MonotonicNow());
        owner_->OnSilent(*this);
        return false;
      })
      .SendIf([this] { return MaySend(); })
      .OnHead([this](int status, const HttpHeaders& headers) {
        OnHead(status, headers);
      })
      .OnBody([this](std::string_view bytes) { OnBody(bytes); })
      .OnEnd([this](HttpCallEnd end) { OnCallEnd(end); });
  if (plan_.may_repeat) builder.Pool(&context_->pool);
  call_ = builder.Start();
}

bool UpstreamAttempt::MaySend() {
  const bool is_continuation = plan_.call.copy.has_value();
  send_cancelled_ = end_ || (!is_continuation && !Counts()) ||
                    !owner_->MaySend(*this) || !EnsurePermit();
  if (!send_cancelled_) written_at_ = MonotonicNow();
  return !send_cancelled_;
}

std::optional<Duration> UpstreamAttempt::TimeToWrite() const {
  return written_at_ ? std::optional(*written_at_ - sent_at_) : std::nullopt;
}

void UpstreamAttempt::OnCallEnd(HttpCallEnd end) {
  const bool is_unverified = end == HttpCallEnd::kComplete && !end_ && head_ &&
                             head_->IsSuccess() && !is_mismatched_ &&
                             EndsWithConnection() && !relay_.HasPartialEvent();
  if (is_unverified) return ProbeUpstream();
  const bool has_ended =
      end == HttpCallEnd::kComplete || end == HttpCallEnd::kTruncated;
  if (watch_ && has_ended && !end_) watch_->OnClosed(false, PreciseNow());
  const bool is_cut =
      has_ended && !end_ && is_event_stream_ && EndsWithConnection();
  if (is_cut) ObserveCut(end);
  End(end);
}

void UpstreamAttempt::ObserveCut(HttpCallEnd end) const {
  // One that leaves may exit amid a response.
  if (IsDeparting() || owner_->IsOrderedToStop(*this)) return;
  const StreamEndObservation observation{
      end == HttpCallEnd::kComplete ? StreamEndSign::kClosedWithinEvent
                                    : StreamEndSign::kReset,
      writer(), plan_.upstream.id, request_.id, ""};
  AskUpstream(context_, plan_.upstream, sent_at_, kStreamProbeTimeout,
              [context = context_, observation](UpstreamState state) {
                if (state != UpstreamState::kRuns) return;
                context->ObserveStreamEnd(observation, MonotonicNow());
              });
}

void UpstreamAttempt::ProbeUpstream() {
  const auto now = PreciseNow();
  // A close that was ordered tells nothing of other closes.
  if (owner_->IsOrderedToStop(*this)) watch_.reset();
  if (watch_) watch_->OnClosed(rhythm_.IsRightBehindEvent(now), now);
  const auto done = [this, weak = std::weak_ptr(alive_),
                     now](UpstreamState state) {
    if (!weak.expired()) OnProbed(state, now);
  };
  const auto& upstream = plan_.upstream;
  if (is_event_stream_) {
    AskUpstream(context_, upstream, sent_at_, kStreamProbeTimeout, done);
  } else if (plan_.call.to_engine) {
    AskUpstream(context_, upstream, sent_at_, kProbeTimeout, done);
  } else {
    // Only upstreams that generate have reports.
    ProbeListener(context_, upstream, kProbeTimeout, done);
  }
}

void UpstreamAttempt::OnProbed(UpstreamState state,
                               PreciseTimePoint closed_at) {
  state_at_end_ = state;
  if (state == UpstreamState::kRuns && watch_) watch_->OnAnswer(closed_at);
  if (!watch_ || !IsDeparting()) return EndUnmarked(closed_at);
  if (state == UpstreamState::kRuns) {
    return OnDeparture(CloseOrigin::kProcess, closed_at);
  }
  // One that leaves has closed its listener, whether or not it still runs.
  watch_->Decide(
      [this, weak = std::weak_ptr(alive_), closed_at](CloseOrigin origin) {
        if (!weak.expired()) OnDeparture(origin, closed_at);
      });
}

void UpstreamAttempt::OnDeparture(CloseOrigin origin,
                                  PreciseTimePoint closed_at) {
  close_origin_ = origin;
  context_->stream_ends.CountClose(origin);
  context_->close_delimited_streams->OnDeparture(writer(), origin,
                                                 MonotonicNow());
  EndUnmarked(closed_at);
}

void UpstreamAttempt::EndUnmarked(PreciseTimePoint closed_at) {
  LogUnmarkedEnd(closed_at);
  // One that leaves may exit behind its last response. Without other evidence,
  // only one that has announced it counts.
  const bool may_have_left = watch_ ? IsDeparting() : IsLeaving();
  const bool has_died = WasFoundGone() && !may_have_left;
  End(has_died ? HttpCallEnd::kTruncated : HttpCallEnd::kComplete);
}

void UpstreamAttempt::LogUnmarkedEnd(PreciseTimePoint closed_at) const {
  const auto milliseconds = [](PreciseDuration time) {
    return static_cast<double>(time.count()) / 1'000;
  };
  context_->environment.log->Write(
      "unmarked-end",
      {{"request", Text(request_.id)},
       {"upstream", Text(plan_.upstream.id)},
       {"born_ms", static_cast<qint64>(plan_.upstream.born_ms)},
       {"probe", Text(NameOf(state_at_end_))},
       {"probe_ms", milliseconds(PreciseNow() - closed_at)},
       {"leaving", IsDeparting()},
       {"closed_by", Text(NameOf(close_origin_))},
       {"silent_ms", milliseconds(rhythm_.SilenceAt(closed_at))},
       {"gap_ms", milliseconds(rhythm_.MeanGap().value_or(PreciseDuration(0)))},
       {"open_streams",
        watch_ ? static_cast<qint64>(watch_->watch().open_streams()) : 0},
       {"stream", is_event_stream_},
       {"events", static_cast<qint64>(relay_.events())}});
}

void UpstreamAttempt::End(HttpCallEnd end) {
  if (end_) return;
  end_ = end;
  // A response may end while memory for its last part is waited for.
  body_share_->Take(std::exchange(unshared_bytes_, 0), MonotonicNow());
  owner_->OnEnd(*this, end);
}

void UpstreamAttempt::Cancel() {
  if (!end_) end_ = HttpCallEnd::kCancelled;
  if (call_) call_->Cancel();
}

void UpstreamAttempt::SetPaused(bool paused) {
  if (end_ || is_paused_ == paused) return;
  is_paused_ = paused;
  // Silence counts from the moment at which the upstream is read again.
  if (!paused) {
    last_byte_at_ = MonotonicNow();
    rhythm_.OnResumed(PreciseNow());
  }
  if (watch_) watch_->OnPaused();
  call_->SetPaused(paused);
}

void UpstreamAttempt::Release(UpstreamOutcome outcome, bool rejected,
                              TimePoint now) {
  const bool is_unused = rate_limit_ > 0 && !MayHaveBeenSent();
  if (is_unused && std::exchange(has_permit_, false)) {
    context_->permits.Return(plan_.upstream.id, plan_.upstream.born_ms);
  }
  context_->EndAttempt(plan_.upstream, &ticket_, outcome, rejected, now);
  RecordForRollout(now);
}

void UpstreamAttempt::RecordFirstPart(TimePoint now) {
  const bool is_known = first_part_at_ || !context_->rollouts.IsActive() ||
                        is_mismatched_ || (head_ && !head_->IsSuccess());
  if (is_known) return;
  first_part_at_ = now;
  const double expected =
      kDistanceMs + kUsualAnswerMs + prefill_tokens_ / kUsualPrefillTokensPerMs;
  context_->rollouts.OnPace(
      plan_.upstream, plan_.route,
      PaceBucket(kDistanceMs + static_cast<double>((now - sent_at_).count()),
                 expected),
      now);
}

void UpstreamAttempt::RecordGap(TimePoint now) {
  const auto events = relay_.events();
  const bool is_due = !gap_recorded_ && first_part_at_ &&
                      events >= kEventsOfGap && context_->rollouts.IsActive();
  if (!is_due) return;
  gap_recorded_ = true;
  const double gap = static_cast<double>((now - *first_part_at_).count()) /
                     static_cast<double>(events - 1);
  context_->rollouts.OnPace(plan_.upstream, plan_.route + kGapSuffix,
                            PaceBucket(gap, kUsualAnswerMs), now);
}

void UpstreamAttempt::RecordForRollout(TimePoint now) {
  const bool is_known = context_->rollouts.IsActive() && end_ &&
                        MayHaveBeenSent() && !is_mismatched_ && Counts();
  if (!is_known) return;
  const bool is_cut =
      *end_ == HttpCallEnd::kTruncated || *end_ == HttpCallEnd::kNoResponse;
  const bool is_answered = *end_ == HttpCallEnd::kComplete && head_ &&
                           !head_->declared_not_run && !head_->wrong_upstream;
  if (!is_cut && !is_answered) return;
  const bool is_bad = is_cut || head_->IsFailure();
  if (!context_->rollouts.OnEnd(plan_.upstream, plan_.route, is_bad, now)) {
    return;
  }
  context_->environment.log->Write(
      "rollout-local-stop", {{"service", Text(plan_.upstream.service)},
                             {"target", Text(plan_.upstream.software_version)},
                             {"upstream", Text(plan_.upstream.id)},
                             {"request", Text(request_.id)}});
  // The coordinator should hear of it.
  if (context_->on_grant_needed) context_->on_grant_needed();
}

bool UpstreamAttempt::MayHaveBeenSent() const {
  return call_ && call_->MayHaveBeenSent();
}

bool UpstreamAttempt::IsLeaving() const {
  const auto* entry = context_->catalog.Find(plan_.upstream.id);
  return entry != nullptr && entry->leaving;
}

bool UpstreamAttempt::IsDeparting() const {
  const auto* entry = context_->catalog.Find(plan_.upstream.id);
  if (entry == nullptr) return true;
  return entry->born_ms == plan_.upstream.born_ms && entry->leaving;
}

bool UpstreamAttempt::Counts() const {
  const auto* entry = context_->catalog.Find(plan_.upstream.id);
  return entry != nullptr && !entry->leaving;
}

bool UpstreamAttempt::WasReplaced() const {
  const auto* entry = context_->catalog.Find(plan_.upstream.id);
  return entry != nullptr && entry->born_ms != plan_.upstream.born_ms;
}

bool UpstreamAttempt::MayHaveReachedOtherVersion() const {
  return details::MayHaveReachedOtherVersion(*context_, plan_.upstream,
                                             sent_at_);
}

bool UpstreamAttempt::IsSilentFor(Duration time, TimePoint now) const {
  return !end_ && !is_paused_ && MayHaveBeenSent() &&
         now - last_byte_at_ >= time;
}

bool UpstreamAttempt::EnsurePermit() {
  const auto& upstream = plan_.upstream;
  if (rate_limit_ > 0 && has_permit_) return true;
  rate_limit_ = context_->permits.LimitOf(upstream.id, upstream.born_ms);
  has_permit_ = context_->TakePermit(upstream);
  return has_permit_;
}

void UpstreamAttempt::OnHead(int status, const HttpHeaders& headers) {
  if (end_) return;
  head_at_ = MonotonicNow();
  last_byte_at_ = *head_at_;
  if (call_->IsOnReusedConnection()) {
    context_->links.OnContact(plan_.upstream.id);
  } else {
    context_->links.OnConnected(plan_.upstream.id, sent_at_);
  }
  head_ = context_->environment.dialect->DecodeResponseHead(status, headers);
  const auto& answered = head_->request_id;
  is_mismatched_ =
      head_->is_unattributed || (!answered.empty() && answered != request_.id);
  if (is_mismatched_) call_->DisableReuse();
  context_->ApplyResponseHead(plan_.upstream, *head_, request_.id);
  // Such a response may be of another upstream, or an earlier one.
  if (!is_mismatched_ && !head_->wrong_upstream) {
    context_->quarantine.OnResponse(plan_.upstream);
    context_->ApplyRateLimit(plan_.upstream, *head_, request_.id);
    context_->ApplyBrittleness(plan_.upstream, *head_, request_.id);
  }
  is_event_stream_ = !is_mismatched_ && plan_.is_stream && head_->IsSuccess();
  if (!is_event_stream_) call_->LimitBody(kMaxCollectedBodyBytes);
  if (!plan_.is_stream) RecordFirstPart(MonotonicNow());
  is_silent_ = false;
  owner_->OnByte(*this);
}

void UpstreamAttempt::OnBody(std::string_view bytes) {
  if (end_) return;
  last_byte_at_ = MonotonicNow();
  is_silent_ = false;
  context_->links.OnContact(plan_.upstream.id);
  if (!is_event_stream_) {
    Collect(bytes);
    return owner_->OnByte(*this);
  }
  const auto events = FeedEvents(&relay_, bytes);
  if (relay_.IsEventTooLong()) return call_->LimitBody(0);
  if (relay_.HasMisplacedEvent()) return End(HttpCallEnd::kMalformed);
  owner_->OnByte(*this);
  if (events.bytes.empty()) return;
  const bool is_first = events.count > 0 && events.count == relay_.events();
  if (is_first && !EndsWithConnection()) {
    context_->close_delimited_streams->OnMarked(writer(), last_byte_at_);
  }
  if (EndsWithConnection()) WatchUnmarked(events.count > 0);
  if (events.count > 0) {
    context_->picker.OnFirstEvent(&ticket_, last_byte_at_);
    RecordFirstPart(last_byte_at_);
    RecordGap(last_byte_at_);
  }
  owner_->OnEvents(*this, events);
}

void UpstreamAttempt::WatchUnmarked(bool has_events) {
  if (!watch_) {
    watch_ = context_->watches.Add(context_, plan_.upstream, sent_at_);
  }
  if (has_events) {
    const auto now = PreciseNow();
    rhythm_.OnEvent(now);
    watch_->OnEvent(now);
  }
  if (IsDeparting()) watch_->watch().Reserve(last_byte_at_);
}

void UpstreamAttempt::Collect(std::string_view bytes) {
  body_ += bytes;
  unshared_bytes_ += bytes.size();
  if (!memory_timer_.isActive()) TakeMemory();
}

void UpstreamAttempt::TakeMemory() {
  // Receivers that take nothing give way after a second.
  constexpr Duration kMemoryCheckPeriod{100};
  if (end_) return memory_timer_.stop();
  if (!body_share_->Grow(unshared_bytes_, MonotonicNow())) {
    memory_timer_.start(kMemoryCheckPeriod);
    return SetPaused(true);
  }
  memory_timer_.stop();
  unshared_bytes_ = 0;
  SetPaused(false);
}

}  // namespace firmoor::details
