#ifndef FIRMOOR_LIMITS_TESTS_QUOTA_FLEET_MODEL_H_
#define FIRMOOR_LIMITS_TESTS_QUOTA_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "limits/grant_wait_list.h"
#include "limits/quota_allowance.h"
#include "limits/quota_pool.h"

namespace firmoor {

/// Daemons in two regions that share the quotas of many workspaces through one
/// coordinator, in simulated time. Reports and replies take the time of the
/// network; the coordinator answers at once.
class QuotaFleetModel {
 public:
  struct Counts {
    int requests = 0;
    int waited = 0;   ///< Requests that waited for a grant.
    int refused = 0;  ///< Requests refused after the wait.
    /// Refused while the workspace had used less than half of its quota.
    int refused_below_half = 0;
    /// Refused although the quota had room for the request.
    int refused_within = 0;
    /// The most tokens in a window beyond a quota, as a part of that quota.
    double max_excess = 0;
    int early_reports = 0;
    int early_quotas = 0;  ///< Quotas in early reports.
  };

  explicit QuotaFleetModel(std::size_t daemons, std::uint32_t seed = 1);

  /// Runs the fleet under its usual traffic.
  void Run(Duration time);
  /// Ends the coordinator. What it handed over is some renewals of its lease
  /// old.
  void LoseCoordinator();
  /// Starts the next coordinator, which the daemons find within a second.
  void StartCoordinator();
  /// The coordinator hands over to the next one, with what it knows now.
  void HandOver();
  /// Cuts the first `count` daemons off from every coordinator.
  void CutOff(std::size_t count) { cut_off_ = count; }
  /// Ends the first `count` daemons; the others get their requests.
  void End(std::size_t count) { cut_off_ = ended_ = count; }
  /// Restarts a daemon without its state.
  void Restart(std::size_t daemon);
  /// Makes the first `count` daemons, and every later coordinator if
  /// `and_next`, of an earlier build, which does not go on at the granted rate.
  void UseEarlierBuild(std::size_t count, bool and_next);
  /// Multiplies the traffic of the largest workspaces from now on.
  void Heat(std::size_t workspaces, double factor);
  /// Sends all requests of the largest workspaces to the first daemons.
  void Concentrate(std::size_t workspaces, std::size_t daemons);

  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Workspace {
    QuotaLimit limit;
    QuotaPool pool;
    PriorQuotaState handed_over;
    std::deque<std::pair<TimePoint, double>> admitted;
    double used = 0;  ///< Tokens in `admitted`.
  };
  struct Daemon {
    std::string instance_id;
    Duration latency{0};                     ///< One way to the coordinator.
    std::vector<QuotaAllowance> allowances;  ///< By workspace.
    GrantWaitList waiters;
    TimePoint reported_at;
    bool early_report_planned = false;
    TimePoint finds_coordinator_at;
    int known_coordinator = 1;  ///< That had a whole report.
    TimePoint replied_at;       ///< By the coordinator.
  };
  struct Request {
    std::size_t daemon = 0;
    std::size_t workspace = 0;
    double tokens = 0;
    bool waits = false;
  };

  void At(TimePoint time, std::function<void()> work);
  void PlanRequest();
  void PlanReports(std::size_t daemon);
  void Start(const std::shared_ptr<Request>& request);
  void Resume(const std::shared_ptr<Request>& request, bool may_wait);
  void RequestEarlyReport(std::size_t daemon);
  void Report(std::size_t daemon, bool is_early);
  /// Makes the coordinator's reply; empty before it divides the quotas.
  std::map<std::size_t, QuotaGrant> MakeGrants(
      std::size_t daemon, const std::string& instance,
      const std::map<std::size_t, QuotaUsage>& uses);
  [[nodiscard]] bool CanDivide() const;
  /// Whether neither this daemon nor the coordinator is of an earlier build.
  [[nodiscard]] bool CanContinue(std::size_t daemon) const;
  void OnReply(std::size_t daemon,
               const std::map<std::size_t, QuotaGrant>& grants,
               ReportNumber number);
  /// The daemon that a request reaches that was meant for `daemon`.
  [[nodiscard]] std::size_t Redirect(std::size_t daemon,
                                     std::size_t workspace) const;
  [[nodiscard]] double RequestsPerS() const;
  void SaveHandoverState(bool is_final = false);
  void RenewLease();
  void Admit(const Request& request);
  double Used(Workspace* workspace);

  std::mt19937 random_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint now_{Duration(50'000)};
  std::vector<Workspace> workspaces_;
  std::vector<Daemon> daemons_;
  std::vector<double> weights_;  ///< Of the workspaces' traffic.
  double usual_weight_ = 0;
  int coordinator_ = 1;  ///< Number of the coordinator; 0: there is none.
  int last_coordinator_ = 1;
  TimePoint coordinator_since_;
  std::set<std::size_t> reporting_;  ///< Daemons known to the coordinator.
  TimePoint handed_over_at_;
  std::size_t cut_off_ = 0;
  std::size_t ended_ = 0;
  std::size_t earlier_build_ = 0;
  int first_earlier_coordinator_ = 0;  ///< 0: none.
  std::size_t concentrated_workspaces_ = 0;
  std::size_t concentrated_daemons_ = 1;
  std::discrete_distribution<std::size_t> choose_workspace_;
  Counts counts_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_TESTS_QUOTA_FLEET_MODEL_H_
