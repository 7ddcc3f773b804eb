#include "gateway/coordinator_service.h"

#include <fmt/format.h>

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <utility>

#include "base/handler_timer.h"
#include "base/text.h"
#include "details/coordinator_service_impl.h"
#include "placement/fencing_number.h"
#include "placement/lease_stagger.h"

namespace firmoor {
namespace {

using details::HolderEndpoint;
using details::HolderName;
using details::kLeaseObject;
using details::kMaxMissedReplies;
using details::kPollPeriod;
using details::kReportedWindows;

constexpr const char* kReportKind = "report";
constexpr const char* kRelayKind = "relay";
constexpr Duration kReportPeriod{1'000};
constexpr Duration kReportTimeout{700};
// Shortest interval between reports while a quota allowance is nearly used up.
constexpr Duration kMinReportInterval{100};
// While requests move to another software version.
constexpr Duration kMovingReportPeriod{300};

bool IsMoving(const RolloutReplies& replies) {
  return std::any_of(replies.begin(), replies.end(), [](const auto& entry) {
    const auto stage = entry.second.stage;
    return stage == RolloutStage::kHalf || stage == RolloutStage::kAll;
  });
}

}  // namespace

DaemonReport CoordinatorService::Impl::MakeReport(
    QuotaReportScope quotas) const {
  DaemonReport report;
  report.daemon = settings.daemon;
  report.instance_id = settings.instance_id;
  report.wall_ms = WallClockMs();
  if (env.store_era != nullptr) report.store_era = env.store_era->known();
  report.uptime = MonotonicNow() - started_at;
  report.cores = settings.cores;
  report.is_draining = env.gateway->IsDraining();
  report.location = {settings.region, settings.peers,
                     settings.availability_zone};
  report.directory = env.gateway->DaemonDirectoryPosition();
  auto& ledger = env.gateway->ledger();
  const auto window = ledger.WindowOf(env.true_time->At(MonotonicNow()));
  ledger.DropBefore(window - kReportedWindows);
  report.usage = ledger.windows();
  report.quotas = env.gateway->ReportQuotas(quotas);
  report.loads = env.gateway->Loads();
  report.upstream_limits = env.gateway->ReportUpstreamLimits();
  report.quarantine = env.gateway->ReportQuarantine();
  report.rollouts = env.gateway->ReportRollouts();
  report.shortage = env.gateway->ReportShortage();
  report.stream_ends = env.gateway->ReportStreamEnds();
  return report;
}

void CoordinatorService::Impl::Report(QuotaReportScope quotas) {
  if (!running) return;
  const HandlerTimer timer("a report to the coordinator");
  reported_at = MonotonicNow();
  if (coordinator && HoldsLease()) {
    EndGap();
    const auto reply = AddReport(MakeReport(QuotaReportScope::kAll));
    return ApplyReply(reply, {env.gateway->LastReport(), reported_at});
  }
  const auto endpoint = HolderEndpoint(holder);
  if (endpoint.port == 0 ||
      holder == HolderName(settings.daemon, settings.peers)) {
    return OnMissedReply();
  }
  if (!has_reported_all) quotas = QuotaReportScope::kAll;
  const auto message = MakeReport(quotas).Encode();
  const SentReport sent{env.gateway->LastReport(), reported_at, quotas};
  peers->Call(endpoint, kReportKind, message, kReportTimeout,
              [this, weak = std::weak_ptr(alive), sent](
                  PeerStatus status, const QByteArray& bytes) {
                if (weak.expired()) return;
                if (status != PeerStatus::kOk || bytes.isEmpty()) {
                  return OnMissedReply();
                }
                OnReply(bytes, sent);
              });
}

void CoordinatorService::Impl::ReportEarly() {
  // The coordinator's own daemon gets its replies directly.
  const bool is_lost = !(coordinator && HoldsLease()) && HasLostCoordinator();
  if (is_lost || early_report_timer.isActive()) return;
  const auto wait = reported_at + kMinReportInterval - MonotonicNow();
  // Goes through the event loop even when due, since the reply must not change
  // the quota while a request is being admitted.
  early_report_timer.start(std::max(wait, Duration(0)));
}

void CoordinatorService::Impl::OnReply(const QByteArray& bytes,
                                       const SentReport& sent) {
  // Sent before this daemon was handed the lease.
  if (coordinator) return;
  const auto decoded = Capture([&] { return CoordinatorReply::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    env.log->Write("coordinator-answer-bad",
                   {{"reason", Text(error->message)}});
    return OnMissedReply();
  }
  const auto& reply = std::get<CoordinatorReply>(decoded);
  if (!reply.moved_to.empty()) return OnMoved(reply);
  EndGap();
  if (HasLostCoordinator()) {
    env.log->Write("coordinator-found", {{"coordinator", Text(holder)}});
  }
  missed_replies = 0;
  has_reported_all |= sent.quotas == QuotaReportScope::kAll;
  lease_timer.stop();
  known_fencing = std::max(known_fencing, reply.lease_fencing_token);
  ObserveStoreEra(reply.store_era);
  ApplyReply(reply, sent);
  ConfirmConfiguration(reply, sent.at);
  UpdateLeaseClock(reply);
}

void CoordinatorService::Impl::ConfirmConfiguration(
    const CoordinatorReply& reply, TimePoint sent_at) {
  if (reply.config_age_ms < 0) return;
  const bool is_same_version = env.gateway->ConfirmRoutesFromPeer(
      reply.config_version, Duration(reply.config_age_ms), sent_at);
  if (!is_same_version && env.check_configuration) env.check_configuration();
}

void CoordinatorService::Impl::UpdateLeaseClock(const CoordinatorReply& reply) {
  if (reply.lease_fencing_token <= 0) return;
  lease.OnHolderClock(
      {reply.lease_fencing_token, TimePoint(Duration(reply.lease_clock_ms))},
      MonotonicNow());
}

void CoordinatorService::Impl::ApplyReply(const CoordinatorReply& reply,
                                          const SentReport& sent) {
  env.true_time->SetTime(reply.true_ms, MonotonicNow());
  env.gateway->ApplyUpstreamLimits(reply.upstream_limits, sent.at);
  env.gateway->ApplyQuarantine(reply.quarantine);
  // The coordinator completes a roll-out once it knows that all have moved.
  if (env.gateway->ApplyRollouts(reply.rollouts)) ReportEarly();
  if (IsMoving(reply.rollouts) && !early_report_timer.isActive()) {
    early_report_timer.start(kMovingReportPeriod);
  }
  env.gateway->ApplyShortage(reply.shortage);
  env.gateway->ApplyStreamEnds(reply.stream_ends);
  if (!reply.limits_ready) return AwaitGrants();
  env.gateway->SetSharedLimits(reply.limits, sent.number);
  env.gateway->ApplyDaemonDirectory(reply.directory);
  if (env.set_sources) env.set_sources(reply.sources);
}

void CoordinatorService::Impl::OnMissedReply() {
  ++missed_replies;
  if (!gap_since) gap_since = reported_at;
  has_reported_all = false;
  if (missed_replies == kMaxMissedReplies) {
    env.log->Write("coordinator-lost", {{"coordinator", Text(holder)}});
  }
  if (HasLostCoordinator() && !lease_timer.isActive()) {
    lease_timer.start(kPollPeriod);
    PollLease();
  }
}

CoordinatorReply CoordinatorService::Impl::AddReport(
    const DaemonReport& report) {
  const auto now = MonotonicNow();
  env.true_time->AddClockReading(report.daemon, report.wall_ms, now);
  auto reply = coordinator->OnReport(
      report,
      [this](const std::string& name) { return env.gateway->QuotaOf(name); },
      env.true_time->At(now), now);
  rollouts->OnReport(report.instance_id, report.rollouts, now);
  if (rollouts->HasFault()) AdvanceRollouts();
  reply.rollouts = rollouts->Replies();
  return reply;
}

std::optional<DaemonReport> CoordinatorService::Impl::DecodeReport(
    const QByteArray& bytes) const {
  const auto decoded = Capture([&] { return DaemonReport::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    env.log->Write("daemon-report-bad", {{"reason", Text(error->message)}});
    return std::nullopt;
  }
  return std::get<DaemonReport>(decoded);
}

QByteArray CoordinatorService::Impl::OnReport(const DaemonReport& report) {
  ObserveStoreEra(report.store_era);
  // The lease may be lost with what the store has lost.
  if (!coordinator || !HoldsLease()) return {};
  auto reply = AddReport(report);
  if (env.store_era != nullptr) reply.store_era = env.store_era->known();
  const auto* routes = env.gateway->routes();
  const auto age = env.gateway->freshness().Age(MonotonicNow());
  if (routes != nullptr && age) {
    reply.config_version = routes->version();
    reply.config_age_ms = age->count();
  }
  if (const auto clock = lease.Clock(MonotonicNow())) {
    reply.lease_fencing_token = clock->fencing;
    reply.lease_clock_ms = clock->now.time_since_epoch().count();
  }
  return reply.Encode();
}

void CoordinatorService::Impl::PollLease() {
  if (!running) return;
  const HandlerTimer timer("a poll of the lease");
  if (coordinator) lease.SetHandoverState(MakeHandoverState().Encode());
  const auto daemons = env.gateway->SharingDaemonCount();
  const bool drains = env.gateway->IsDraining();
  lease.SetStagger(LeaseStagger(daemons, settings.cores, settings.instance_id));
  lease.SetTakeoverDelay(drains ? DrainingTakeoverDelay(daemons, settings.lease)
                                : Duration(0));
  if (coordinator && drains) TryHandOver();
  const auto call = lease.NextCall(MonotonicNow());
  if (coordinator) {
    ReportUsage();
    OrderUpstreams();
    RunRollouts();
  }
  if (!call) return;
  const std::weak_ptr weak = alive;
  if (call->is_write) {
    env.store->Write(kLeaseObject, call->expected, call->value,
                     [this, weak](StoreStatus status, StoreVersion version) {
                       if (weak.expired()) return;
                       lease.OnWrite(status, version, MonotonicNow());
                       OnLeaseChanged();
                       ConfirmNotice();
                     });
    return;
  }
  env.store->Read(kLeaseObject,
                  [this, weak](StoreStatus status, const auto& object) {
                    if (weak.expired()) return;
                    lease.OnRead(status, object, MonotonicNow());
                    const bool replied = status != StoreStatus::kUnavailable;
                    if (replied) LoadHandoverState();
                    ContinueHandOver();
                    OnLeaseChanged();
                    if (lease_timer.isActive()) PollLease();
                  });
}

void CoordinatorService::Impl::LoadHandoverState() {
  const auto& bytes = lease.seen_handover_state();
  if (coordinator) return;
  if (bytes.isEmpty()) return env.gateway->SeedSharedLimits(0, {});
  const auto decoded =
      Capture([&] { return CoordinatorHandoverState::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    env.log->Write("fleet-note-bad", {{"reason", Text(error->message)}});
    return;
  }
  previous_state = std::get<CoordinatorHandoverState>(decoded);
  env.gateway->SeedSharedLimits(previous_state.daemons,
                                previous_state.used_tokens);
}

void CoordinatorService::Impl::OnLeaseChanged() {
  const bool has_new_number =
      coordinator && lease.IsHolder() && lease.fencing() != used_number;
  if (has_new_number && !lease.ContinuesTerm()) StopCoordinator();
  if (lease.IsHolder() && !coordinator) {
    StartCoordinator();
  } else if (has_new_number) {
    ContinueCoordinator();
  }
  const bool lost =
      !lease.IsHolder() && !lease.seen_holder().empty() &&
      lease.seen_holder() != HolderName(settings.daemon, settings.peers);
  if (coordinator && lost) StopCoordinator();
  if (!coordinator && lease.seen_holder() != holder) {
    holder = lease.seen_holder();
    has_reported_all = false;
    missed_replies = kMaxMissedReplies;
    Report();
  }
}

void CoordinatorService::Impl::StartCoordinator() {
  holder_since = MonotonicNow();
  used_number = lease.fencing();
  era_known_ms = env.true_time->At(lease.era_known_since());
  term_start_ms = env.true_time->At(holder_since);
  holder = HolderName(settings.daemon, settings.peers);
  if (hand_over) EndHandOver();
  // The handover state is at least one lease duration old, since the previous
  // lease had to expire, unless its holder handed it over.
  const auto state_age =
      lease.WasHandedOver() ? Duration(0) : Duration(settings.lease);
  coordinator.emplace(holder_since, previous_state,
                      holder_since - state_age + settings.quota_window,
                      lease.fencing());
  if (notice && notice->fencing == lease.fencing()) {
    coordinator->OnNotice(*notice);
  }
  UsageReporter::Timing timing;
  timing.window_ms = settings.usage_window_ms;
  usage_reporter.emplace(
      timing,
      UsageReporter::CountSource{
          [this](std::int64_t window) { return coordinator->Usage(window); },
          [this](std::int64_t true_ms) {
            // While draining, reports what there is: the next coordinator
            // would not have the counts of daemons that have exited.
            return env.gateway->IsDraining() ||
                   coordinator->AllReportedSince(true_ms, MonotonicNow());
          },
          [this] {
            return LatestTrueMs(lease.era_known_since(), era_known_ms);
          },
          [this] { return LatestTrueMs(lease.term_start(), term_start_ms); }},
      UsageReporter::Term{lease.fencing(), lease.TookOverAfterReturn(),
                          lease.IsFirstTerm()});
  autoscaler.emplace(holder_since, settings.strategies);
  rollouts.emplace();
  lease_timer.start(kPollPeriod);
  LogLease("lease-taken");
}

void CoordinatorService::Impl::ContinueCoordinator() {
  used_number = lease.fencing();
  usage_reporter->ContinueTerm(lease.fencing());
  LogLease("lease-renumbered");
}

std::int64_t CoordinatorService::Impl::LatestTrueMs(
    TimePoint at, std::int64_t taken_ms) const {
  return std::max(env.true_time->At(at), taken_ms);
}

void CoordinatorService::Impl::LogLease(const char* event) const {
  env.log->Write(event,
                 {{"fencing", static_cast<qint64>(lease.fencing())},
                  {"era", static_cast<qint64>(EraOfFencing(lease.fencing()))},
                  {"after_return", lease.TookOverAfterReturn()}});
}

void CoordinatorService::Impl::StopCoordinator() {
  coordinator.reset();
  usage_reporter.reset();
  autoscaler.reset();
  rollouts.reset();
  env.log->Write("lease-lost", {{"holder", Text(lease.seen_holder())}});
}

CoordinatorService::CoordinatorService(Settings settings,
                                       Environment environment)
    : impl_(
          std::make_unique<Impl>(std::move(settings), std::move(environment))) {
  auto* state = impl_.get();
  state->peers =
      PeerNode::Builder()
          .Listen(state->settings.peers)
          .Handler([state](const std::string& kind, const QByteArray& message,
                           const PeerNode::Reply& reply) {
            if (kind == kRelayKind && state->env.serve_relay) {
              return state->env.serve_relay(message, reply);
            }
            if (kind == kReportKind) return state->ServeReport(message, reply);
            if (kind == details::kHandOverKind) {
              return state->ServeNotice(message, reply);
            }
            reply(state->env.gateway->ServePeer(kind, message)
                      .value_or(QByteArray()));
          })
          .StreamHandler(
              [state](const std::string& kind, const QByteArray& message,
                      const std::shared_ptr<PeerStreamResponder>& responder) {
                state->env.gateway->ServePeerStream(kind, message, responder);
              })
          .Build();
  QObject::connect(&state->report_timer, &QTimer::timeout, &state->report_timer,
                   [state] { state->Report(); });
  state->early_report_timer.setSingleShot(true);
  QObject::connect(&state->early_report_timer, &QTimer::timeout,
                   &state->early_report_timer,
                   [state] { state->Report(QuotaReportScope::kNeeded); });
  QObject::connect(&state->lease_timer, &QTimer::timeout, &state->lease_timer,
                   [state] { state->PollLease(); });
}

CoordinatorService::~CoordinatorService() { Stop(); }

bool CoordinatorService::Start() {
  if (!impl_->peers->Start()) return false;
  impl_->running = true;
  impl_->env.gateway->OnGrantNeeded(
      [state = impl_.get()] { state->ReportEarly(); });
  impl_->report_timer.start(kReportPeriod);
  // Reads the lease at once, since quotas are divided by its handover state.
  // Polls after a random delay, so that not all daemons write the first lease.
  impl_->env.gateway->AwaitSharedLimits(MonotonicNow() + kReportPeriod);
  impl_->PollLease();
  const auto startup_delay = QRandomGenerator::global()->bounded(
      static_cast<int>(kPollPeriod.count()));
  QTimer::singleShot(startup_delay, &impl_->lease_timer, [state = impl_.get()] {
    if (!state->running) return;
    state->lease_timer.start(kPollPeriod);
    state->PollLease();
  });
  return true;
}

bool CoordinatorService::IsAddressInUse() const {
  return impl_->peers->IsAddressInUse();
}

void CoordinatorService::Stop() {
  if (!std::exchange(impl_->running, false)) return;
  impl_->alive.reset();
  impl_->env.gateway->OnGrantNeeded(nullptr);
  impl_->report_timer.stop();
  impl_->early_report_timer.stop();
  impl_->lease_timer.stop();
  impl_->peers->Stop();
}

void CoordinatorService::OnStoreReturned(std::int64_t era) {
  // Whoever started since may have held a lease that is lost.
  impl_->lease.SetFirstStart(false);
  impl_->lease.ObserveEra(era, MonotonicNow());
  if (impl_->rollouts) impl_->rollouts->OnStoreReturned();
  // A coordinator does not act again before it holds the lease in this era.
  if (impl_->coordinator) impl_->PollLease();
}

void CoordinatorService::CallRelay(const Endpoint& peer,
                                   const QByteArray& request, Duration timeout,
                                   PeerNode::Done done) {
  impl_->peers->Call(peer, kRelayKind, request, timeout, std::move(done));
}

void CoordinatorService::CallPeer(const Endpoint& peer, const std::string& kind,
                                  const QByteArray& message, Duration timeout,
                                  PeerNode::Done done) {
  impl_->peers->Call(peer, kind, message, timeout, std::move(done));
}

std::unique_ptr<PeerStream> CoordinatorService::OpenPeerStream(
    const Endpoint& peer, const std::string& kind, const QByteArray& message,
    PeerStream::Handlers handlers) {
  return impl_->peers->OpenStream(peer, kind, message, std::move(handlers));
}

std::string CoordinatorService::MetricsText() const {
  return impl_->gaps.PrometheusText();
}

bool CoordinatorService::IsHolder() const {
  return impl_->coordinator.has_value();
}

bool CoordinatorService::HasUnsentResponse() const {
  return impl_->peers->HasUnsentSeries();
}

}  // namespace firmoor
