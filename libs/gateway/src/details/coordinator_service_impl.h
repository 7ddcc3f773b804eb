#ifndef FIRMOOR_GATEWAY_DETAILS_COORDINATOR_SERVICE_IMPL_H_
#define FIRMOOR_GATEWAY_DETAILS_COORDINATOR_SERVICE_IMPL_H_

#include <QByteArray>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "details/holder_name.h"
#include "gateway/autoscaler.h"
#include "gateway/coordinator_service.h"
#include "gateway/usage_reporter.h"
#include "metrics/duration_histogram.h"
#include "peer/peer_node.h"
#include "placement/lease_elector.h"
#include "rollout/rollout_coordinator.h"

namespace firmoor {
namespace details {

constexpr const char* kLeaseObject = "coordinator";
constexpr const char* kHandOverKind = "hand_over";
constexpr Duration kPollPeriod{250};
// Missed replies after which the lease is read.
constexpr int kMaxMissedReplies = 2;
// Remaining lease time with which a call to the cloud may be sent, so that it
// arrives before the lease expires.
constexpr Duration kMinLeaseRemaining{500};
// A new coordinator waits until calls of the previous one have arrived.
constexpr Duration kTakeoverDelay{700};
constexpr int kRenewalsPerLease = 3;
// Windows that a report repeats, for a coordinator that has just taken over.
constexpr std::int64_t kReportedWindows = 6;

}  // namespace details

/// State of the service. The lease and the reports are handled in
/// coordinator_service.cc, the coordinator's calls to the cloud in
/// coordinator_duties.cc, a hand-over of the lease in coordinator_hand_over.cc,
/// roll-outs in coordinator_rollouts.cc.
struct CoordinatorService::Impl {
  /// A report to the coordinator that was sent.
  struct SentReport {
    ReportNumber number = 0;
    TimePoint at;
    QuotaReportScope quotas = QuotaReportScope::kAll;
  };

  /// Of the lease to another daemon, under way or done.
  struct HandOver {
    std::string to;          ///< Name of the new holder.
    TimePoint duties_ended;  ///< When this daemon stopped to coordinate.
    HandOverNotice notice;
    bool is_notified = false;
    std::optional<TimePoint> accepted_at;  ///< The new holder coordinates.
    /// For the reports that arrived since, until the new holder coordinates.
    std::vector<PeerNode::Reply> waiting;
  };

  Settings settings;
  Environment env;
  LeaseElector lease;
  std::unique_ptr<PeerNode> peers;
  std::optional<Coordinator> coordinator;   ///< While it holds the lease.
  CoordinatorHandoverState previous_state;  ///< Of the last coordinator.
  std::optional<UsageReporter> usage_reporter;
  std::optional<Autoscaler> autoscaler;
  std::optional<RolloutCoordinator> rollouts;
  std::map<std::string, StoreVersion> rollout_versions;  ///< By service.
  TimePoint holder_since;
  std::int64_t used_number = 0;  ///< Fencing number that the coordinator uses.
  /// True time, as estimated when the term began, of that moment and of when
  /// this daemon first knew of the era. The estimate changes with the term:
  /// it follows the previous coordinator before, and the daemons' clocks since.
  std::int64_t term_start_ms = 0;
  std::int64_t era_known_ms = 0;
  TimePoint reported_at;
  std::string holder;  ///< Name of the coordinator; empty when unknown.
  int missed_replies = details::kMaxMissedReplies;
  /// Whether the coordinator has replied to a report of all quotas. A new one
  /// divides the quotas once it has a report of every daemon.
  bool has_reported_all = false;
  std::optional<HandOver> hand_over;
  std::optional<HandOverNotice> notice;  ///< That the lease is handed to it.
  PeerNode::Reply notice_reply;          ///< Not yet called.
  std::int64_t known_fencing = 0;        ///< Of the coordinator it reports to.
  /// Sending time of the first report that no coordinator has received.
  std::optional<TimePoint> gap_since;
  DurationHistogram gaps{"firmoor_coordinator_gap_seconds",
                         {0.0, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0}};
  TimePoint started_at = MonotonicNow();
  TimePoint awaits_grants_until;
  QTimer report_timer;
  QTimer lease_timer;
  QTimer early_report_timer;
  bool running = false;
  // Callbacks of the store and the cloud API may run after `Stop`.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Impl(Settings service_settings, Environment service_environment)
      : settings(std::move(service_settings)),
        env(std::move(service_environment)),
        lease(details::HolderName(settings.daemon, settings.peers),
              {settings.lease, settings.lease / details::kRenewalsPerLease,
               details::kTakeoverDelay}) {
    lease.SetFirstStart(settings.is_first_start);
    lease.SetInstance(settings.instance_id);
  }

  [[nodiscard]] DaemonReport MakeReport(QuotaReportScope quotas) const;
  void Report(QuotaReportScope quotas = QuotaReportScope::kAll);
  void ReportEarly();
  void OnReply(const QByteArray& bytes, const SentReport& sent);
  void ConfirmConfiguration(const CoordinatorReply& reply, TimePoint sent_at);
  void UpdateLeaseClock(const CoordinatorReply& reply);
  void ApplyReply(const CoordinatorReply& reply, const SentReport& sent);
  void OnMissedReply();
  /// Empty, and logged, if it is malformed.
  [[nodiscard]] std::optional<DaemonReport> DecodeReport(
      const QByteArray& bytes) const;
  QByteArray OnReport(const DaemonReport& report);
  CoordinatorReply AddReport(const DaemonReport& report);
  [[nodiscard]] bool HasLostCoordinator() const {
    return missed_replies >= details::kMaxMissedReplies;
  }
  void TryHandOver();
  /// Tells the successor once the store shows that it has the lease.
  void ContinueHandOver();
  void OnNoticeAnswered(bool has_lease);
  void EndHandOver();
  [[nodiscard]] QByteArray MovedReply() const;
  void ServeReport(const QByteArray& bytes, const PeerNode::Reply& reply);
  void ServeNotice(const QByteArray& bytes, const PeerNode::Reply& reply);
  void AnswerNotice(const QByteArray& answer);
  /// Tells the former holder that this daemon coordinates.
  void ConfirmNotice();
  /// The lease was handed to another daemon.
  void OnMoved(const CoordinatorReply& reply);
  void Follow(const std::string& coordinator_name, std::int64_t fencing);
  /// Asks a coordinator again that was handed the lease and does not divide
  /// the limits yet.
  void AwaitGrants();
  void EndGap() {
    if (gap_since) gaps.Record(MonotonicNow() - *gap_since);
    gap_since.reset();
  }
  void PollLease();
  void OnLeaseChanged();
  [[nodiscard]] CoordinatorHandoverState MakeHandoverState() const {
    return coordinator->MakeHandoverState(
        [this](const std::string& name) { return env.gateway->QuotaOf(name); },
        MonotonicNow());
  }
  void LoadHandoverState();
  void StartCoordinator();
  void ContinueCoordinator();
  void ObserveStoreEra(const std::optional<std::int64_t>& era) const {
    if (era && env.store_era != nullptr) env.store_era->Observe(*era);
  }
  void StopCoordinator();
  void LogLease(const char* event) const;
  /// The later one of two estimates of the true time at `at`.
  [[nodiscard]] std::int64_t LatestTrueMs(TimePoint at,
                                          std::int64_t taken_ms) const;
  [[nodiscard]] bool HoldsLease() const {
    return lease.MayOrderFenced(MonotonicNow());
  }
  [[nodiscard]] bool MayCallCloud() const {
    const auto now = MonotonicNow();
    return lease.MayOrderFenced(now + details::kMinLeaseRemaining) &&
           now - lease.term_start() >= details::kTakeoverDelay;
  }
  [[nodiscard]] LeaseHolder HolderIdentity() const {
    return {settings.daemon, lease.fencing()};
  }
  /// Moves roll-outs to their next stages, and logs it.
  void AdvanceRollouts();
  /// Does the same, and makes the calls to the store that are due.
  void RunRollouts();
  void ReadRollout(const RolloutCoordinator::StoreCall& call);
  void WriteRollout(const RolloutCoordinator::StoreCall& call);
  /// Whether the coordinator is still the one that made a call.
  [[nodiscard]] std::function<bool()> IsSameTerm() const;
  void ReportUsage();
  void OrderUpstreams();
  void LogOrder(const UpstreamOrder& order, CloudStatus status) const;
  void LogUsage(const UsageReporter::SendReport& send,
                CloudStatus status) const;
  void RunUsageStep(const UsageReporter::Step& step);
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_DETAILS_COORDINATOR_SERVICE_IMPL_H_
