#include "gateway/coordinator_service.h"

#include <fmt/format.h>

#include <QRandomGenerator>
#include <QTimer>
#include <algorithm>
#include <optional>
#include <utility>

#include "base/text.h"
#include "gateway/autoscaler.h"
#include "gateway/usage_reporter.h"
#include "peer/peer_node.h"
#include "placement/lease_elector.h"
#include "placement/lease_stagger.h"

namespace firmoor {
namespace {

constexpr const char* kLeaseObject = "coordinator";
constexpr const char* kUsageObject = "usage";
constexpr const char* kReportKind = "report";
constexpr const char* kRelayKind = "relay";
constexpr Duration kReportPeriod{1'000};
constexpr Duration kReportTimeout{700};
// Shortest time between reports when an allowance runs short.
constexpr Duration kEarlyReportPause{100};
constexpr Duration kHolderTick{250};
// Reports without an answer after which the lease is looked at.
constexpr int kMissesToSeek = 2;
// Lease time that must be left when a duty call is_draining: what the call
// needs to arrive.
constexpr Duration kLeaseReserve{500};
// A new holder waits until calls of the one before it have arrived.
constexpr Duration kTakeOverPause{700};
// A new holder orders when it has read the upstreams and heard the daemons.
constexpr Duration kFirstOrders{1'500};
constexpr int kRenewalsInLease = 3;
// Windows that a report repeats, for a coordinator that just took over.
constexpr std::int64_t kWindowsReported = 6;

std::string HolderName(const CoordinatorService::Settings& settings) {
  return settings.daemon + "@" + settings.peers.ToString();
}

Endpoint EndpointOf(const std::string& holder) {
  const auto at = holder.rfind('@');
  return at == std::string::npos ? Endpoint{}
                                 : Endpoint::Parse(holder.substr(at + 1));
}

}  // namespace

struct CoordinatorService::Impl {
  Settings settings;
  Environment environment;
  LeaseElector lease;
  std::unique_ptr<PeerNode> peers;
  std::optional<Coordinator> coordinator;  ///< While this daemon holds.
  CoordinatorHandoverState
      note_before;  ///< Of the coordinator that held the lease last.
  std::optional<UsageReporter> usage;
  std::optional<Autoscaler> scaling;
  TimePoint held_since;
  TimePoint reported_at;
  std::string holder;  ///< Who is reported to; empty when unknown.
  int misses = kMissesToSeek;
  QTimer report_timer;
  QTimer lease_timer;
  QTimer early_timer;
  bool running = false;
  // Callbacks of the store and the cloud may come after a stop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Impl(Settings duty_settings, Environment duty_environment)
      : settings(std::move(duty_settings)),
        environment(std::move(duty_environment)),
        lease(HolderName(settings),
              {settings.lease, settings.lease / kRenewalsInLease,
               kTakeOverPause}) {}

  [[nodiscard]] DaemonReport MakeReport() const;
  void Report();
  void ReportEarly();
  void OnGrant(const QByteArray& bytes, TimePoint asked_at);
  void TakeProof(const CoordinatorReply& grant, TimePoint asked_at);
  void TakeLeaseClock(const CoordinatorReply& grant);
  void TakeGrant(const CoordinatorReply& grant);
  void OnMiss();
  QByteArray OnReport(const QByteArray& bytes);
  CoordinatorReply Collect(const DaemonReport& report);
  [[nodiscard]] bool IsSeeking() const { return misses >= kMissesToSeek; }
  void StepLease();
  void LeaseChanged();
  [[nodiscard]] CoordinatorHandoverState MakeNote() const;
  void ReadNote();
  void BecomeHolder();
  void LoseLease();
  [[nodiscard]] bool HoldsLease() const {
    return lease.MayOrderFenced(MonotonicNow());
  }
  [[nodiscard]] bool MayAct() const;
  [[nodiscard]] LeaseHolder Holder() const;
  void StepUsage();
  void StepScaling();
  void LogOrder(const UpstreamOrder& order, CloudStatus status) const;
  void Run(const UsageReporter::Step& step);
};

DaemonReport CoordinatorService::Impl::MakeReport() const {
  DaemonReport report;
  report.daemon = settings.daemon;
  report.instance_id = settings.instance_id;
  report.wall_ms = WallClockMs();
  report.is_draining = environment.gateway->IsDraining();
  report.place = {settings.region, settings.peers};
  auto& ledger = environment.gateway->ledger();
  const auto window =
      ledger.WindowOf(environment.true_time->At(MonotonicNow()));
  ledger.DropBefore(window - kWindowsReported);
  report.usage = ledger.windows();
  report.quotas = environment.gateway->ReportQuotas();
  report.loads = environment.gateway->Loads();
  return report;
}

void CoordinatorService::Impl::Report() {
  if (!running) return;
  reported_at = MonotonicNow();
  if (coordinator && HoldsLease()) return TakeGrant(Collect(MakeReport()));
  const auto endpoint = EndpointOf(holder);
  if (endpoint.port == 0 || holder == HolderName(settings)) return OnMiss();
  peers->Call(endpoint, kReportKind, MakeReport().Encode(), kReportTimeout,
              [this, weak = std::weak_ptr(alive), asked_at = reported_at](
                  PeerStatus status, const QByteArray& bytes) {
                if (weak.expired()) return;
                if (status != PeerStatus::kOk || bytes.isEmpty()) {
                  return OnMiss();
                }
                OnGrant(bytes, asked_at);
              });
}

void CoordinatorService::Impl::ReportEarly() {
  const auto now = MonotonicNow();
  if (IsSeeking() || early_timer.isActive()) return;
  const auto due = reported_at + kEarlyReportPause;
  // Queued also when it is due, since the report must not change the quota
  // of the request that is being decided.
  early_timer.start(std::max(due - now, Duration(0)));
}

void CoordinatorService::Impl::OnGrant(const QByteArray& bytes,
                                       TimePoint asked_at) {
  const auto decoded = Capture([&] { return CoordinatorReply::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    environment.log->Write("coordinator-answer-bad",
                           {{"reason", Text(error->message)}});
    return OnMiss();
  }
  if (IsSeeking()) {
    environment.log->Write("coordinator-found",
                           {{"coordinator", Text(holder)}});
  }
  misses = 0;
  lease_timer.stop();
  const auto& grant = std::get<CoordinatorReply>(decoded);
  TakeGrant(grant);
  TakeProof(grant, asked_at);
  TakeLeaseClock(grant);
}

void CoordinatorService::Impl::TakeProof(const CoordinatorReply& grant,
                                         TimePoint asked_at) {
  if (grant.config_age_ms < 0) return;
  const bool same = environment.gateway->ConfirmRoutesFromPeer(
      grant.config_version, Duration(grant.config_age_ms), asked_at);
  if (!same && environment.check_configuration) {
    environment.check_configuration();
  }
}

void CoordinatorService::Impl::TakeLeaseClock(const CoordinatorReply& grant) {
  if (grant.lease_fencing_token <= 0) return;
  lease.OnHolderClock(
      {grant.lease_fencing_token, TimePoint(Duration(grant.lease_clock_ms))},
      MonotonicNow());
}

void CoordinatorService::Impl::TakeGrant(const CoordinatorReply& grant) {
  environment.true_time->SetTime(grant.true_ms, MonotonicNow());
  if (!grant.limits_ready) return;
  environment.gateway->SetSharedLimits(grant.limits);
  if (environment.set_sources) environment.set_sources(grant.sources);
}

void CoordinatorService::Impl::OnMiss() {
  ++misses;
  if (misses == kMissesToSeek) {
    environment.log->Write("coordinator-lost", {{"coordinator", Text(holder)}});
  }
  if (IsSeeking() && !lease_timer.isActive()) {
    lease_timer.start(kHolderTick);
    StepLease();
  }
}

CoordinatorReply CoordinatorService::Impl::Collect(const DaemonReport& report) {
  const auto now = MonotonicNow();
  environment.true_time->AddClockReading(report.daemon, report.wall_ms, now);
  return coordinator->OnReport(
      report,
      [this](const std::string& workspace) {
        return environment.gateway->QuotaOf(workspace);
      },
      environment.true_time->At(now), now);
}

QByteArray CoordinatorService::Impl::OnReport(const QByteArray& bytes) {
  // Without an answer the others look at the lease, and one takes it over.
  if (!coordinator || !HoldsLease()) return {};
  const auto decoded = Capture([&] { return DaemonReport::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    environment.log->Write("daemon-report-bad",
                           {{"reason", Text(error->message)}});
    return {};
  }
  auto grant = Collect(std::get<DaemonReport>(decoded));
  const auto* routes = environment.gateway->routes();
  const auto age = environment.gateway->freshness().Age(MonotonicNow());
  if (routes != nullptr && age) {
    grant.config_version = routes->version();
    grant.config_age_ms = age->count();
  }
  if (const auto clock = lease.Clock(MonotonicNow())) {
    grant.lease_fencing_token = clock->fencing;
    grant.lease_clock_ms = clock->now.time_since_epoch().count();
  }
  return grant.Encode();
}

void CoordinatorService::Impl::StepLease() {
  if (!running) return;
  if (coordinator) lease.SetHandoverState(MakeNote().Encode());
  lease.SetStagger(LeaseStagger(environment.gateway->SharingDaemonCount(),
                                settings.cores, settings.instance_id));
  const auto call = lease.NextCall(MonotonicNow());
  if (coordinator) {
    StepUsage();
    StepScaling();
  }
  if (!call) return;
  const std::weak_ptr weak = alive;
  if (call->is_write) {
    environment.store->Write(
        kLeaseObject, call->expected, call->value,
        [this, weak](StoreStatus status, std::int64_t version) {
          if (weak.expired()) return;
          lease.OnWrite(status, version, MonotonicNow());
          LeaseChanged();
        });
    return;
  }
  environment.store->Read(kLeaseObject,
                          [this, weak](StoreStatus status, const auto& object) {
                            if (weak.expired()) return;
                            lease.OnRead(status, object, MonotonicNow());
                            if (status != StoreStatus::kUnavailable) ReadNote();
                            LeaseChanged();
                            if (lease_timer.isActive()) StepLease();
                          });
}

CoordinatorHandoverState CoordinatorService::Impl::MakeNote() const {
  return coordinator->MakeHandoverState(
      [this](const std::string& workspace) {
        return environment.gateway->QuotaOf(workspace);
      },
      MonotonicNow());
}

void CoordinatorService::Impl::ReadNote() {
  const auto& bytes = lease.seen_handover_state();
  if (coordinator) return;
  if (bytes.isEmpty()) return environment.gateway->SeedSharedLimits(0, {});
  const auto decoded =
      Capture([&] { return CoordinatorHandoverState::Decode(bytes); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    environment.log->Write("fleet-note-bad",
                           {{"reason", Text(error->message)}});
    return;
  }
  note_before = std::get<CoordinatorHandoverState>(decoded);
  environment.gateway->SeedSharedLimits(note_before.daemons, note_before.used);
}

void CoordinatorService::Impl::LeaseChanged() {
  if (lease.IsHolder() && !coordinator) BecomeHolder();
  const bool lost = !lease.IsHolder() && !lease.seen_holder().empty() &&
                    lease.seen_holder() != HolderName(settings);
  if (coordinator && lost) LoseLease();
  if (!coordinator && lease.seen_holder() != holder) {
    holder = lease.seen_holder();
    misses = kMissesToSeek;
    Report();
  }
}

void CoordinatorService::Impl::BecomeHolder() {
  held_since = MonotonicNow();
  holder = HolderName(settings);
  // The note is at least as old as the lease that was waited for.
  coordinator.emplace(held_since, note_before,
                      held_since - settings.lease + settings.quota_window);
  UsageReporter::Timing timing;
  timing.window_ms = settings.usage_window_ms;
  usage.emplace(
      timing,
      UsageReporter::Counts{
          [this](std::int64_t window) { return coordinator->Usage(window); },
          [this](std::int64_t true_ms) {
            // The next coordinator would not have the counts of daemons that
            // have ended.
            return environment.gateway->IsDraining() ||
                   coordinator->AllReportedSince(true_ms, MonotonicNow());
          }});
  scaling.emplace(held_since, settings.strategies);
  lease_timer.start(kHolderTick);
  environment.log->Write("lease-taken",
                         {{"fencing", static_cast<qint64>(lease.fencing())}});
}

void CoordinatorService::Impl::LoseLease() {
  coordinator.reset();
  usage.reset();
  scaling.reset();
  environment.log->Write("lease-lost", {{"holder", Text(lease.seen_holder())}});
}

bool CoordinatorService::Impl::MayAct() const {
  const auto now = MonotonicNow();
  return lease.MayOrderFenced(now + kLeaseReserve) &&
         now - held_since >= kTakeOverPause;
}

LeaseHolder CoordinatorService::Impl::Holder() const {
  return {settings.daemon, lease.fencing()};
}

void CoordinatorService::Impl::StepUsage() {
  if (!settings.reports_usage || !MayAct()) return;
  coordinator->DropUsageBefore(usage->NextWindow() - kWindowsReported);
  const auto step = usage->Next(environment.true_time->At(MonotonicNow()));
  if (step) Run(*step);
}

void CoordinatorService::Impl::StepScaling() {
  const auto now = MonotonicNow();
  const auto* routes = environment.gateway->routes();
  const bool settled = now - held_since >= kFirstOrders;
  if (!settings.orders_upstreams || routes == nullptr || !settled ||
      !MayAct()) {
    return;
  }
  const auto order = scaling->Next(
      {routes->content().services, environment.gateway->upstreams().all(),
       coordinator->Loads(now)},
      now);
  if (!order) return;
  const std::weak_ptr weak = alive;
  const auto since = held_since;
  const auto stands = [this, weak, since] {
    return !weak.expired() && scaling && held_since == since;
  };
  environment.cloud->OrderUpstreams(
      Holder(), *order, [this, stands] { return stands() && MayAct(); },
      [this, stands, order = *order](CloudStatus status) {
        if (!stands()) return;
        scaling->OnOrdered(order, status, MonotonicNow());
        LogOrder(order, status);
        StepScaling();
      });
}

void CoordinatorService::Impl::LogOrder(const UpstreamOrder& order,
                                        CloudStatus status) const {
  environment.log->Write("upstream-order",
                         {{"service", Text(order.service)},
                          {"zone", Text(order.availability_zone)},
                          {"reclaimable", order.reclaimable},
                          {"count", order.count},
                          {"status", static_cast<int>(status)},
                          {"fencing", static_cast<qint64>(lease.fencing())}});
}

void CoordinatorService::Impl::Run(const UsageReporter::Step& step) {
  const std::weak_ptr weak = alive;
  // A lease that was lost and taken again has another duty object.
  const auto since = held_since;
  const auto stands = [this, weak, since] {
    return !weak.expired() && usage && held_since == since;
  };
  if (std::holds_alternative<UsageReporter::ReadState>(step)) {
    environment.store->Read(
        kUsageObject, [this, stands](StoreStatus status, const auto& object) {
          if (stands()) usage->OnRead(status, object);
        });
  } else if (const auto* write =
                 std::get_if<UsageReporter::WriteState>(&step)) {
    environment.store->Write(
        kUsageObject, write->expected, write->value,
        [this, stands](StoreStatus status, std::int64_t version) {
          if (!stands()) return;
          usage->OnWrite(status, version);
          if (status == StoreStatus::kOk) StepUsage();
        });
  } else {
    const auto& report = std::get<UsageReporter::SendReport>(step).report;
    environment.cloud->ReportUsage(
        Holder(), report, [this, stands] { return stands() && MayAct(); },
        [this, stands, report](CloudStatus status) {
          if (!stands()) return;
          usage->OnSent(status);
          std::int64_t total = 0;
          for (const auto& [name, count] : report.counts) total += count;
          environment.log->Write(
              "usage-report",
              {{"window", static_cast<qint64>(report.window)},
               {"requests", static_cast<qint64>(total)},
               {"status", static_cast<int>(status)},
               {"fencing", static_cast<qint64>(lease.fencing())}});
        });
  }
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
            if (kind == kRelayKind && state->environment.serve_relay) {
              return state->environment.serve_relay(message, reply);
            }
            reply(kind == kReportKind ? state->OnReport(message)
                                      : QByteArray());
          })
          .Build();
  QObject::connect(&state->report_timer, &QTimer::timeout, &state->report_timer,
                   [state] { state->Report(); });
  state->early_timer.setSingleShot(true);
  QObject::connect(&state->early_timer, &QTimer::timeout, &state->early_timer,
                   [state] { state->Report(); });
  QObject::connect(&state->lease_timer, &QTimer::timeout, &state->lease_timer,
                   [state] { state->StepLease(); });
}

CoordinatorService::~CoordinatorService() { Stop(); }

bool CoordinatorService::Start() {
  if (!impl_->peers->Start()) return false;
  impl_->running = true;
  impl_->environment.gateway->OnQuotaShort(
      [state = impl_.get()] { state->ReportEarly(); });
  impl_->report_timer.start(kReportPeriod);
  // Read at once, since quotas are divided by the note in the lease; written
  // apart, so that the daemons do not all write the first one.
  impl_->environment.gateway->AwaitSharedLimits(MonotonicNow() + kReportPeriod);
  impl_->StepLease();
  const auto spread = QRandomGenerator::global()->bounded(
      static_cast<int>(kHolderTick.count()));
  QTimer::singleShot(spread, &impl_->lease_timer, [state = impl_.get()] {
    if (!state->running) return;
    state->lease_timer.start(kHolderTick);
    state->StepLease();
  });
  return true;
}

void CoordinatorService::Stop() {
  if (!std::exchange(impl_->running, false)) return;
  impl_->alive.reset();
  impl_->environment.gateway->OnQuotaShort(nullptr);
  impl_->report_timer.stop();
  impl_->early_timer.stop();
  impl_->lease_timer.stop();
  impl_->peers->Stop();
}

void CoordinatorService::CallRelay(const Endpoint& peer, const QByteArray& ask,
                                   Duration timeout, PeerNode::Done done) {
  impl_->peers->Call(peer, kRelayKind, ask, timeout, std::move(done));
}

bool CoordinatorService::IsHolder() const {
  return impl_->coordinator.has_value();
}

}  // namespace firmoor
