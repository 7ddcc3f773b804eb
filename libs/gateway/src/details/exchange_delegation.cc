#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/text.h"
#include "details/exchange.h"
#include "gateway/refusal.h"

namespace firmoor::details {
namespace {

// Attempts that found no connection after which another daemon is asked, also
// before it is known whether this one has lost its links: two upstreams hardly
// ever fail at the same time.
constexpr int kMaxUnsentAttempts = 2;
// Daemons asked for one request. With three quarters of a fleet cut off, five
// choices find one of the others for three quarters of the requests, and
// refusals are remembered for the rest.
constexpr std::size_t kMaxPeersPerRequest = 5;
// Connecting, sending and accepting take two round trips, up to 80 ms between
// regions.
constexpr Duration kAcceptTimeout{300};
constexpr Duration kCheckPeriod{250};
// A request without a byte for this long says something about the links, as
// upstreams answer or send an event far more often.
constexpr Duration kSilence{500};
// Live connections show that the upstreams themselves are reachable.
constexpr Duration kRecentContact{1'000};

}  // namespace

bool Exchange::IsLinkUsable(TimePoint now) const {
  return context_->links.reachability().SendsDirectly(
      service_, Hash64(request_.id, 0), now);
}

bool Exchange::HasPeer(TimePoint now) const {
  return !origin_ && refusing_peers_.size() < kMaxPeersPerRequest &&
         context_->delegations.peers()
             .Choose(context_->stream_versions.directory(), service_,
                     Hash64(request_.id, refusing_peers_.size()),
                     refusing_peers_, now)
             .has_value();
}

bool Exchange::LeaveToPeer(TimePoint now) {
  const bool is_usable = IsLinkUsable(now);
  if (is_usable && unsent_attempts_ < kMaxUnsentAttempts) return false;
  if (origin_) return ReturnToSender();
  // As long as the links seem to be usable, only one other daemon is asked.
  const bool may_ask = !is_usable || refusing_peers_.empty();
  if (may_ask && Delegate(now)) return true;
  if (is_usable) return false;
  // If nobody reaches new upstreams but earlier connections live, the upstreams
  // rather than the links are the cause.
  const auto contact = context_->links.reachability().LastContact(service_);
  if (contact && now - *contact < kRecentContact) return false;
  RefuseWithoutUpstream(false);
  return true;
}

bool Exchange::LeaveLastToPeer(TimePoint now) {
  const auto state = context_->links.reachability().StateOf(service_);
  const bool may_be_cut_off =
      unsent_attempts_ > 0 || state != ReachabilityState::kReachable;
  if (!may_be_cut_off) return false;
  if (origin_) return ReturnToSender();
  return refusing_peers_.empty() && Delegate(now);
}

bool Exchange::ReturnToSender() {
  // Requests take one hop only.
  if (OutcomeSoFar() != RequestOutcome::kNotRun) return false;
  origin_->writer->Refuse(PeerRefusal::kUnreachable);
  Finish(ResultCode::kNoUpstream, NameOf(RequestOutcome::kNotRun));
  return true;
}

bool Exchange::Delegate(TimePoint now) {
  auto& delegations = context_->delegations;
  if (refusing_peers_.size() >= kMaxPeersPerRequest) return false;
  const auto peer = delegations.peers().Choose(
      context_->stream_versions.directory(), service_,
      Hash64(request_.id, refusing_peers_.size()), refusing_peers_, now);
  if (!peer) return false;
  DelegatedRequest message;
  message.sender = context_->settings.daemon;
  message.config_version = table_->version();
  message.request = request_;
  message.request.caller_timeout = std::max(ends_at_ - now, Duration(1));
  message.request.last_event_id = last_event_id_;
  message.service = service_;
  message.version = version_;
  message.tried_upstreams = tried_.ExcludedForPeers();
  message.attempts = race_.attempts();
  message.usage_counted = usage_counted_;
  const auto weak = weak_from_this();
  const auto number = std::make_shared<int>(0);
  PeerStream::Handlers handlers;
  handlers.on_message = [weak, number](const QByteArray& bytes) {
    if (const auto self = weak.lock()) {
      self->OnDelegationMessage(*number, bytes);
    }
  };
  handlers.on_end = [weak, number](PeerStatus status) {
    if (const auto self = weak.lock()) self->OnDelegationEnd(*number, status);
  };
  auto stream = delegations.Open(*peer, message, std::move(handlers));
  if (!stream) return false;
  RecordStart();
  *number = race_.Start(true);
  attempts_.Add(*number, {*peer,
                          std::move(stream),
                          now,
                          now,
                          false,
                          false,
                          {},
                          "",
                          EventRelay(last_event_id_)});
  last_peer_ = peer->daemon;
  context_->environment.log->Write(
      "delegated",
      {{"request", Text(request_.id)},
       {"service", Text(service_)},
       {"to", Text(peer->daemon)},
       {"links",
        Text(NameOf(context_->links.reachability().StateOf(service_)))},
       {"unsent", unsent_attempts_},
       {"refused_by", static_cast<qint64>(refusing_peers_.size())},
       {"time_left_ms", static_cast<qint64>((ends_at_ - now).count())},
       {"events", static_cast<qint64>(events_)}});
  QTimer::singleShot(kAcceptTimeout, &timer_,
                     [this, number] { CheckDelegation(*number); });
  return true;
}

void Exchange::CheckDelegation(int number) {
  auto* delegation = attempts_.FindDelegated(number);
  if (finished_ || delegation == nullptr) return;
  const auto self = shared_from_this();
  if (!delegation->stream->MayHaveBeenSent()) {
    return OnPeerRefused(number, PeerRefusal::kNoResponse);
  }
  QTimer::singleShot(kCheckPeriod, &timer_,
                     [this, number] { CheckDelegation(number); });
  const auto now = MonotonicNow();
  // A peer that is not read is not silent.
  if (flow_.is_paused()) delegation->last_message_at = now;
  const auto bound =
      delegation->accepted ? PeerSilenceBound(*admission_.route) : Duration(0);
  if (now - delegation->last_message_at < bound) return;
  if (!std::exchange(delegation->is_silent, true) && !delegation->accepted) {
    context_->delegations.OnRefused(delegation->peer, service_,
                                    PeerRefusal::kNoResponse, now);
  }
  refusing_peers_.insert(delegation->peer.daemon);
  race_.OnSilent(number);
  StartBeside();
}

void Exchange::OnDelegationMessage(int number, const QByteArray& bytes) {
  auto* delegation = attempts_.FindDelegated(number);
  if (finished_ || delegation == nullptr) return;
  const auto self = shared_from_this();
  const auto decoded = Capture([&] { return DelegationReply::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    context_->environment.log->Write("delegation-bad",
                                     {{"request", Text(request_.id)},
                                      {"from", Text(delegation->peer.daemon)},
                                      {"reason", Text(error->message)}});
    return OnDelegationBroken(number);
  }
  const auto now = MonotonicNow();
  delegation->last_message_at = now;
  delegation->is_silent = false;
  race_.OnByte(number);
  const auto& reply = std::get<DelegationReply>(decoded);
  switch (reply.kind) {
    case DelegationReply::Kind::kAccepted:
      delegation->accepted = true;
      return context_->delegations.OnAccepted(delegation->peer, service_,
                                              now - delegation->sent_at);
    case DelegationReply::Kind::kRefused:
      return OnPeerRefused(number, reply.reason);
    case DelegationReply::Kind::kResponse:
      return ForwardDelegatedResponse(number, reply.response);
    case DelegationReply::Kind::kStreamStart:
      delegation->head = reply.response;
      delegation->version = reply.version;
      return;
    case DelegationReply::Kind::kEvents:
      return ForwardDelegatedEvents(number, reply.response.body);
    case DelegationReply::Kind::kStreamEnd:
      return FinishDelegatedStream(number);
  }
}

void Exchange::ForwardDelegatedEvents(int number, const std::string& bytes) {
  auto* delegation = attempts_.FindDelegated(number);
  if (!delegation->head) return OnDelegationBroken(number);
  const auto events = FeedEvents(&delegation->relay, bytes);
  if (events.count == 0 && race_.in_flight() > 1) return;
  const bool is_first = events.count == delegation->relay.events();
  const bool is_misplaced =
      delegation->relay.HasMisplacedEvent() ||
      (is_first && !sequence_.MayFollow(events.count, events.last_id));
  const std::string peer = delegation->peer.daemon;
  if (is_misplaced) {
    OnMoreFollows(peer, MonotonicNow());
    return OnDelegationBroken(number);
  }
  if (events.bytes.empty()) return;
  AdoptDelegation(number);
  ForwardEvents(events, peer, MonotonicNow());
}

void Exchange::FinishDelegatedStream(int number) {
  if (!attempts_.FindDelegated(number)->head) return OnDelegationBroken(number);
  AdoptDelegation(number);
  // The peer, which was asked what follows, has counted it.
  unverified_end_.reset();
  FinishStream(StreamEndBasis::kOtherDaemon);
}

void Exchange::AdoptDelegation(int number) {
  const auto* delegation = attempts_.FindDelegated(number);
  CancelOvertaken(number, delegation->peer.daemon, race_.OnNextPart(number));
  // The peer counts a stream before it sends the head.
  usage_counted_ = true;
  writer_.reset();
  StartAnswer(delegation->head->status, delegation->head->headers,
              MonotonicNow());
  if (!version_) version_ = delegation->version;
}

void Exchange::ForwardDelegatedResponse(int number,
                                        const HttpResponse& response) {
  constexpr int kFirstServerError = 500;
  const auto peer = attempts_.FindDelegated(number)->peer.daemon;
  const auto refusal = ReadGatewayRefusal(response);
  const bool is_not_run =
      refusal && refusal->outcome == RequestOutcome::kNotRun;
  const bool is_failure =
      refusal || answer_started_ || response.status >= kFirstServerError;
  // The peer has counted it, as at the end of an attempt of this daemon.
  if (!refusal || (!is_not_run && !IsStream())) usage_counted_ = true;
  if (is_failure && race_.in_flight() > 1) {
    ++context_->beside_counters.dropped;
    if (!refusal && !answer_started_) failed_answer_ = response;
    refusing_peers_.insert(peer);
    race_.OnCancelled(number, !is_not_run, true);
    EndDelegation(number);
    return StartBeside();
  }
  // What runs or has run elsewhere is not given up for a peer that is full.
  if (is_not_run && (answer_started_ || race_.may_have_run())) {
    refusing_peers_.insert(peer);
    if (HasPeer(MonotonicNow())) {
      return OnPeerRefused(number, PeerRefusal::kBusy);
    }
  }
  if (answer_started_) {
    return AbortStream(refusal ? refusal->code
                               : ResultCode::kUpstreamIncomplete);
  }
  if (is_not_run && race_.may_have_run()) {
    return Refuse(refusal->code, "", RequestOutcome::kUnknown, std::nullopt);
  }
  CancelOvertaken(number, peer, race_.OnNextPart(number));
  const auto share =
      std::make_shared<BodyBudget::Share>(context_->answer_budget);
  share->Take(response.body.size(), MonotonicNow());
  responder_->HoldUntilTaken(share);
  responder_->Send(response);
  if (refusal) return Finish(refusal->code, NameOf(refusal->outcome));
  Finish(ResultCode::kOk,
         response.status < kFirstServerError ? "answered" : "failure-passed");
}

void Exchange::OnDelegationEnd(int number, PeerStatus status) {
  auto* delegation = attempts_.FindDelegated(number);
  if (finished_ || delegation == nullptr) return;
  const auto self = shared_from_this();
  if (status == PeerStatus::kNotSent) {
    return OnPeerRefused(number, PeerRefusal::kNoResponse);
  }
  // Earlier builds complete the call without any message.
  const bool has_reply = delegation->last_message_at != delegation->sent_at;
  if (status == PeerStatus::kOk && !has_reply) {
    return OnPeerRefused(number, PeerRefusal::kUnsupported);
  }
  OnDelegationBroken(number);
}

void Exchange::EndDelegation(int number) {
  const auto delegation = attempts_.RemoveDelegated(number);
  if (!delegation) return;
  race_.OnCancelled(number, delegation->stream->MayHaveBeenSent(), true);
  context_->delegations.OnEnd(delegation->peer);
}

void Exchange::EndDelegations() {
  while (const auto number = attempts_.AnyDelegated()) EndDelegation(*number);
}

void Exchange::OnPeerRefused(int number, PeerRefusal reason) {
  const auto* delegation = attempts_.FindDelegated(number);
  const auto peer = delegation->peer;
  const auto now = MonotonicNow();
  context_->environment.log->Write(
      "delegation-refused",
      {{"request", Text(request_.id)},
       {"service", Text(service_)},
       {"by", Text(peer.daemon)},
       {"reason", Text(NameOf(reason))},
       {"after_ms", static_cast<qint64>((now - delegation->sent_at).count())}});
  context_->delegations.OnRefused(peer, service_, reason, now);
  refusing_peers_.insert(peer.daemon);
  if (race_.in_flight() > 1) ++context_->beside_counters.dropped;
  race_.OnCancelled(number, false, false);
  EndDelegation(number);
  GoOn();
}

void Exchange::OnDelegationBroken(int number) {
  const auto now = MonotonicNow();
  const auto* delegation = attempts_.FindDelegated(number);
  if (!delegation->accepted) {
    context_->delegations.OnRefused(delegation->peer, service_,
                                    PeerRefusal::kNoResponse, now);
  }
  refusing_peers_.insert(delegation->peer.daemon);
  AttemptEnd end;
  end.end =
      answer_started_ ? HttpCallEnd::kTruncated : HttpCallEnd::kNoResponse;
  end.may_have_been_sent = true;
  const auto decision = race_.OnEnd(number, end, true, MakeConditions());
  context_->environment.log->Write(
      "delegation-broken",
      {{"request", Text(request_.id)},
       {"by", Text(delegation->peer.daemon)},
       {"accepted", delegation->accepted},
       {"after_ms", static_cast<qint64>((now - delegation->sent_at).count())},
       {"next", Text(AttemptRace::NameOfNext(decision))}});
  EndDelegation(number);
  if (caller_disconnected_) {
    return Finish(decision.attempt.code, "caller-left");
  }
  if (decision.step == RaceStep::kFail) return FailRequest(decision.attempt);
  if (decision.step == RaceStep::kTryNext) TakeRetry();
  if (decision.step == RaceStep::kGoOn) ++context_->beside_counters.dropped;
  GoOn();
}

void Exchange::ReportSilence(TimePoint now) const {
  if (move_ && !move_->is_silent) return;
  for (const auto& attempt : attempts_.all()) {
    if (!attempt->IsSilentFor(kSilence, now)) continue;
    context_->links.OnSilence(attempt->upstream().id, attempt->last_byte_at());
  }
}

void Exchange::OnLinksLost() {
  if (finished_ || (move_ && !move_->is_silent)) return;
  const auto self = shared_from_this();
  const auto now = MonotonicNow();
  const auto affected = attempts_.all();
  for (const auto& attempt : affected) {
    if (finished_) return;
    if (!attempt->MayHaveBeenSent()) {
      attempt->End(HttpCallEnd::kNotConnected);
    } else if (attempt->IsSilentFor(kSilence, now)) {
      // Another daemon may reach the same upstream.
      tried_.OnLinkLost(attempt->upstream().id);
      race_.OnSilent(attempt->number());
    }
  }
  if (!finished_) StartBeside();
}

}  // namespace firmoor::details
