#ifndef FIRMOOR_GATEWAY_COORDINATION_H_
#define FIRMOOR_GATEWAY_COORDINATION_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "dissemination/distribution_tree.h"
#include "gateway/gateway.h"
#include "limits/quota_pool.h"
#include "limits/usage_ledger.h"

namespace firmoor {

/// What each daemon tells the coordinator once a second.
struct DaemonReport {
  std::string daemon;
  std::string instance_id;   ///< Unique for each start of the daemon.
  std::int64_t wall_ms = 0;  ///< Its clock, when the report was sent.
  bool is_draining = false;  ///< It was told to stop, and reports till its end.
  DaemonLocation location;   ///< Where other daemons find it.
  UsageByWindow usage;       ///< Of this instance_id, the last windows.
  std::map<std::string, QuotaUsage> quotas;  ///< By workspace.
  std::map<std::string, ServiceLoad> loads;  ///< By service.

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<DaemonReport> Decode(const QByteArray& bytes);

  bool operator==(const DaemonReport&) const = default;
};

/// What the coordinator answers.
struct CoordinatorReply {
  std::int64_t true_ms = 0;  ///< Its estimate of the time of day.
  /// Set when the coordinator has heard of the daemons long enough to divide.
  bool limits_ready = false;
  SharedLimits limits;
  /// The configuration that the coordinator holds, and the age of its proof
  /// that it is the newest; negative when it has none.
  std::int64_t config_version = -1;
  std::int64_t config_age_ms = -1;
  /// The fencing number of the coordinator's lease, and its clock since the
  /// start of its VM; 0 when the lease is about to end.
  std::int64_t lease_fencing_token = 0;
  std::int64_t lease_clock_ms = 0;
  /// Daemons to read the store's content from, the preferred one first; empty:
  /// the store itself. Holds when `limits_ready` is set.
  std::vector<Endpoint> sources;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<CoordinatorReply> Decode(const QByteArray& bytes);

  bool operator==(const CoordinatorReply&) const = default;
};

/// What a coordinator is_draining in the store for daemons that start when it
/// is gone, and for the coordinator after it.
struct CoordinatorHandoverState {
  std::size_t daemons = 0;  ///< Heard of.
  std::map<std::string, double>
      used_tokens;  ///< Tokens of the window, by workspace.
  /// Tokens that daemons may still let pass, by workspace.
  std::map<std::string, double> outstanding_tokens;

  [[nodiscard]] QByteArray Encode() const;
  /// Fails with `kBadMessage`.
  static Result<CoordinatorHandoverState> Decode(const QByteArray& bytes);

  bool operator==(const CoordinatorHandoverState&) const = default;
};

/// The side of the daemon that holds the lease: adds up what the daemons
/// report and limits_ready the limits that they share. Starts empty; its first
/// division waits until all daemons had time to report. Pure.
class Coordinator {
 public:
  /// `before`: the note of the coordinator before it, empty when there is none.
  /// What it says of a quota's use counts until `previous_until`.
  Coordinator(TimePoint started_at, CoordinatorHandoverState previous,
              TimePoint previous_until);

  /// `limit_of` gives a workspace's quota.
  CoordinatorReply OnReport(
      const DaemonReport& report,
      const std::function<QuotaLimit(const std::string&)>& limit_of,
      std::int64_t true_ms, TimePoint now);

  /// What to leave for those that come after; `limit_of` as above.
  [[nodiscard]] CoordinatorHandoverState MakeHandoverState(
      const std::function<QuotaLimit(const std::string&)>& limit_of,
      TimePoint now) const;
  [[nodiscard]] UsageCounts Usage(std::int64_t window) const {
    return usage_.Sum(window);
  }
  /// Whether every daemon, as far as is known, has reported since `true_ms`;
  /// not those that have been silent for so long that they are likely gone.
  [[nodiscard]] bool AllReportedSince(std::int64_t true_ms,
                                      TimePoint now) const;
  /// Sums over the daemons that are heard of.
  [[nodiscard]] std::map<std::string, ServiceLoad> Loads(TimePoint now) const;

  void DropUsageBefore(std::int64_t window) { usage_.DropBefore(window); }

 private:
  struct DaemonState {
    std::int64_t true_ms = 0;
    TimePoint reported_at;
    bool is_draining = false;
    DaemonLocation location;
    std::map<std::string, ServiceLoad> loads;
  };

  /// Forgets daemons that are gone, and notes who takes part in reading.
  void RefreshDaemons(TimePoint now);

  [[nodiscard]] bool CanDivideLimits(TimePoint now) const;
  QuotaPool& PoolOf(const std::string& workspace);

  TimePoint started_at_;
  CoordinatorHandoverState previous_;
  TimePoint previous_until_;
  std::map<std::string, QuotaPool> quotas_;  ///< By workspace.
  UsageTotals usage_;
  std::map<std::string, DaemonState> daemons_;
  DistributionTree tree_;
  TimePoint refreshed_at_;
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_COORDINATION_H_
