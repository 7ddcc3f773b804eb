#ifndef FIRMOOR_GATEWAY_COORDINATION_H_
#define FIRMOOR_GATEWAY_COORDINATION_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/fleet_shortage.h"
#include "base/error.h"
#include "base/time.h"
#include "dissemination/distribution_tree.h"
#include "gateway/daemon_directory.h"
#include "gateway/gateway.h"
#include "limits/quota_pool.h"
#include "limits/upstream_limit_divider.h"
#include "limits/usage_ledger.h"
#include "quarantine/quarantine_authority.h"
#include "rollout/rollout_messages.h"
#include "serving/stream_end_authority.h"
#include "serving/stream_end_messages.h"

namespace firmoor {

/// Sent by each daemon to the coordinator once a second.
struct DaemonReport {
  std::string daemon;
  std::string instance_id;  ///< Unique for each start of the daemon.
  std::optional<std::int64_t> store_era;  ///< Latest that it has heard of.
  std::int64_t wall_ms = 0;  ///< Its wall clock when the report was sent.
  bool is_draining = false;  ///< It is stopping, and reports until it exits.
  DaemonLocation location;   ///< Where other daemons reach it.
  UsageByWindow usage;       ///< Of this instance, last windows.
  std::map<std::string, QuotaUsage> quotas;  ///< By workspace.
  std::map<std::string, ServiceLoad> loads;  ///< By service.
  UpstreamLimitReports upstream_limits;
  QuarantineReport quarantine;
  RolloutReports rollouts;
  ShortageReport shortage;  ///< Empty in reports of earlier builds.
  StreamEndReports stream_ends;
  /// Since its start; empty in reports of builds that neither take over a lease
  /// which is handed to them nor follow `CoordinatorReply::moved_to`.
  std::optional<Duration> uptime;
  double cores = 0;  ///< Of its VM, may be less than one.
  /// What it knows of the other daemons; empty if it keeps no directory.
  std::optional<DirectoryPosition> directory;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<DaemonReport> Decode(const QByteArray& bytes);

  bool operator==(const DaemonReport&) const = default;
};

/// The coordinator's reply to a report.
struct CoordinatorReply {
  std::int64_t true_ms = 0;  ///< Its estimate of the true time, Unix ms.
  std::optional<std::int64_t> store_era;  ///< Latest that it has heard of.
  /// Whether enough daemons have reported to divide the limits; `limits` and
  /// `sources` are valid only then.
  bool limits_ready = false;
  SharedLimits limits;
  UpstreamLimitReply upstream_limits;
  QuarantineReply quarantine;
  RolloutReplies rollouts;
  ShortageReply shortage;
  StreamEndReplies stream_ends;  ///< Empty in replies of earlier builds.
  /// The coordinator's configuration version, and how long ago it confirmed in
  /// the store that it is the newest; negative when it has not.
  std::int64_t config_version = -1;
  std::int64_t config_age_ms = -1;
  /// Fencing token of the coordinator's lease, and its monotonic clock; 0 when
  /// the lease is about to expire.
  std::int64_t lease_fencing_token = 0;
  std::int64_t lease_clock_ms = 0;
  /// Daemons to read the store's content from, the preferred one first; empty:
  /// the store itself.
  std::vector<Endpoint> sources;
  /// Changes of the directory of daemons; valid if `limits_ready`.
  DirectoryUpdate directory;
  /// Name of the daemon that the lease was handed to, which answers reports
  /// from now on, and its fencing number; otherwise empty. All else but the
  /// time is then without meaning.
  std::string moved_to;
  std::int64_t moved_fencing = 0;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<CoordinatorReply> Decode(const QByteArray& bytes);

  bool operator==(const CoordinatorReply&) const = default;
};

/// Tells a daemon that the lease was handed to it.
struct HandOverNotice {
  std::int64_t fencing = 0;  ///< With which the lease was handed over.
  /// Daemons that report and do not drain: once the new coordinator knows that
  /// many, it may divide the limits.
  std::size_t reporting = 0;
  /// Counts of instances that will not report again, for windows that have not
  /// been reported.
  std::map<std::string, UsageByWindow> ended_usage;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<HandOverNotice> Decode(const QByteArray& bytes);

  bool operator==(const HandOverNotice&) const = default;
};

/// State that the coordinator keeps in the lease object for its successor, and
/// for daemons that start while there is no coordinator.
struct CoordinatorHandoverState {
  std::size_t daemons = 0;  ///< Number of known daemons.
  /// Tokens used in the current quota window, by workspace.
  std::map<std::string, double> used_tokens;
  /// Granted tokens that daemons may still use, by workspace.
  std::map<std::string, double> outstanding_tokens;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<CoordinatorHandoverState> Decode(const QByteArray& bytes);

  bool operator==(const CoordinatorHandoverState&) const = default;
};

/// Run by the daemon that holds the lease: aggregates the daemons' reports and
/// divides the limits that they share. Starts without any reports, and divides
/// no limits until all daemons have had time to report.
///
/// Performs no I/O and reads no clock.
class Coordinator {
 public:
  /// `previous` is the handover state of the previous coordinator, empty when
  /// there was none. Its quota usage counts until `previous_until`.
  /// `fencing_token` identifies this coordinator.
  Coordinator(TimePoint started_at, CoordinatorHandoverState previous,
              TimePoint previous_until, std::int64_t fencing_token);

  /// Records a report and makes the reply to it. `limit_of` returns a
  /// workspace's quota.
  CoordinatorReply OnReport(
      const DaemonReport& report,
      const std::function<QuotaLimit(const std::string&)>& limit_of,
      std::int64_t true_ms, TimePoint now);

  /// `limit_of` returns a workspace's quota.
  [[nodiscard]] CoordinatorHandoverState MakeHandoverState(
      const std::function<QuotaLimit(const std::string&)>& limit_of,
      TimePoint now) const;
  /// Sums of one usage window over all daemons.
  [[nodiscard]] UsageCounts Usage(std::int64_t window) const {
    return usage_.Sum(window);
  }
  /// Whether every known daemon has reported since `true_ms`. Daemons that have
  /// not reported for so long that they have probably exited are left out.
  [[nodiscard]] bool AllReportedSince(std::int64_t true_ms,
                                      TimePoint now) const;
  /// Daemon to hand the lease to, its instance id and where it listens for
  /// daemons. Leaves out `own_daemon`.
  struct Successor {
    std::string daemon;
    std::string instance_id;
    Endpoint peers;
  };
  [[nodiscard]] std::optional<Successor> ChooseSuccessor(
      const std::string& own_daemon, TimePoint now) const;
  /// What the next coordinator cannot learn from reports. `first_window`: the
  /// first one that has not been reported.
  [[nodiscard]] HandOverNotice MakeNotice(std::int64_t fencing,
                                          std::int64_t first_window,
                                          TimePoint now) const;
  /// Takes what the coordinator that handed over the lease knew.
  void OnNotice(const HandOverNotice& notice);

  /// Sums over the responsive daemons.
  [[nodiscard]] std::map<std::string, ServiceLoad> Loads(TimePoint now) const;

  void DropUsageBefore(std::int64_t window) { usage_.DropBefore(window); }

 private:
  /// From a daemon's last report.
  struct DaemonState {
    std::int64_t true_ms = 0;
    TimePoint reported_at;
    bool is_draining = false;
    DaemonLocation location;
    std::map<std::string, ServiceLoad> loads;
    std::string instance_id;
    std::optional<Duration> uptime;
    double cores = 0;
  };

  /// Whether the daemon's present instance goes on reporting.
  [[nodiscard]] static bool IsReporting(const DaemonState& state,
                                        TimePoint now);
  /// Removes daemons that have exited, and updates the distribution tree.
  void RefreshDaemons(TimePoint now);

  [[nodiscard]] bool CanDivideLimits(TimePoint now) const;
  /// Part of all daemons that report to this coordinator.
  [[nodiscard]] double ReportingFraction(TimePoint now) const;
  QuotaPool& PoolOf(const std::string& workspace);

  TimePoint started_at_;
  CoordinatorHandoverState previous_;
  TimePoint previous_until_;
  /// The previous coordinator handed over and has granted nothing since.
  bool is_previous_final_ = false;
  std::map<std::string, QuotaPool> quotas_;  ///< By workspace.
  UpstreamLimitDivider upstream_limits_;
  QuarantineAuthority quarantine_;
  FleetShortage shortage_;
  StreamEndAuthority stream_ends_;
  UsageTotals usage_;
  std::map<std::string, DaemonState> daemons_;
  DistributionTree tree_;
  DaemonDirectory directory_;
  TimePoint refreshed_at_;
  /// Daemons that reported recently, when it was last refreshed.
  std::size_t responsive_count_ = 0;
  /// Daemons that reported to the coordinator that handed over; 0: unknown.
  std::size_t expected_daemons_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_COORDINATION_H_
