#ifndef FIRMOOR_LIMITS_QUOTA_POOL_H_
#define FIRMOOR_LIMITS_QUOTA_POOL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"

namespace firmoor {

/// Fraction of its equal share of the unassigned tokens that a daemon may use
/// without the coordinator. The rest is withheld because unassigned tokens may
/// since have been granted to other daemons.
constexpr double kUnassignedFraction = 0.125;

/// Time for which a daemon without a coordinator may go on at the rate that it
/// was granted last, from its last report that was answered. Covers a
/// coordinator that is lost twice in a row. A coordinator holds the tokens of a
/// silent daemon for one window longer, since it may be one that is cut off.
constexpr Duration kQuotaContinuation{12'000};

/// Quota of a workspace over all daemons: in any span of `window`, at most the
/// tokens of `rate_per_s` plus one `burst`.
struct QuotaLimit {
  double rate_per_s = 0;  ///< 0: no quota.
  double burst = 0;
  Duration window{8'000};

  /// Tokens that may be admitted in one window.
  [[nodiscard]] double PerWindow() const;

  bool operator==(const QuotaLimit&) const = default;
};

/// One run of a daemon process.
struct DaemonInstance {
  std::string daemon;
  std::string instance_id;  ///< Unique for each start.

  auto operator<=>(const DaemonInstance&) const = default;
};

/// A daemon's use of one quota in the last window.
struct QuotaUsage {
  double admitted = 0;   ///< Tokens of admitted requests.
  double requested = 0;  ///< Tokens of all requests, admitted or refused.
  double pending = 0;    ///< Tokens refused since the last report.
  /// Whether the daemon started within the window, so that usage of its
  /// previous instance is not included.
  bool started_in_window = false;
  /// Tokens in a window that the daemon goes on with if it gets no reply; empty
  /// from an earlier build, which does not go on.
  std::optional<double> held{};

  bool operator==(const QuotaUsage&) const = default;
};

/// Quotas in a report to the coordinator.
enum class QuotaReportScope {
  kAll,     ///< All that are in use.
  kNeeded,  ///< Those that requests wait for or that have nearly run out.
};

/// The coordinator's reply to a daemon's usage report.
struct QuotaGrant {
  /// Tokens that the daemon may admit after its report; negative if the quota
  /// is overdrawn.
  double tokens = 0;
  /// Tokens left in the window that are not granted to any daemon.
  double unassigned = 0;
  /// Time from the report for which the daemon may go on without a coordinator
  /// at the rate that it had; zero from a coordinator of an earlier build.
  Duration continuation{0};

  bool operator==(const QuotaGrant&) const = default;
};

/// State of a quota that a coordinator hands over to its successor.
struct PriorQuotaState {
  double admitted = 0;      ///< Tokens admitted by all daemons in the window.
  double outstanding = 0;   ///< Tokens granted but not used yet.
  std::size_t daemons = 0;  ///< Known daemons.
  /// Whether its coordinator has granted nothing since.
  bool is_final = false;

  bool operator==(const PriorQuotaState&) const = default;
};

/// Coordinator side of one workspace's quota. Grants daemons parts of what the
/// window has left after the tokens that all daemons admitted and those that
/// they hold in unused allowances. The state is rebuilt from the daemons'
/// reports, so another daemon can take over at any time. Performs no I/O.
class QuotaPool {
 public:
  /// Grants a daemon an allowance that applies from its report.
  /// `reporting_daemons`: number of daemons that currently report to this
  /// coordinator, including those that do not use this quota. The usage of
  /// earlier instances of the daemon still counts, and so does their unused
  /// allowance, which they may have used before they ended.
  QuotaGrant Grant(const DaemonInstance& daemon, const QuotaUsage& use,
                   const QuotaLimit& limit, std::size_t reporting_daemons,
                   TimePoint now);
  /// Tokens admitted by all daemons in the window.
  [[nodiscard]] double Used(const QuotaLimit& limit, TimePoint now) const;
  /// Tokens that daemons may still admit if the coordinator is lost: their
  /// unused allowances, and their fallback part of the unassigned tokens.
  [[nodiscard]] double Outstanding(const QuotaLimit& limit,
                                   TimePoint now) const;
  /// Sets the state handed over by the previous coordinator, which is taken
  /// into account until `until`.
  void SetPriorState(const PriorQuotaState& prior, TimePoint until);

 private:
  struct DaemonState {
    double admitted = 0;
    double requested = 0;
    double allowance = 0;
    bool started_in_window = false;
    double held = 0;  ///< By a grant of the previous coordinator.
    bool continues = false;
    bool has_ended = false;  ///< A later instance of the daemon has reported.
    TimePoint reported_at;
    /// Until when the window may contain what the daemon admitted.
    TimePoint counts_until;

    /// Tokens in a window that are not available to others.
    [[nodiscard]] double Committed() const;
    /// Whether the last report was within the window.
    [[nodiscard]] bool IsInWindow(const QuotaLimit& limit,
                                  TimePoint now) const {
      return now - reported_at < limit.window;
    }
  };

  /// Totals over several daemons, in tokens. Updated with each report, so that
  /// the cost of a grant does not depend on the number of daemons.
  struct Sums {
    double admitted = 0;
    double requested = 0;
    double committed = 0;         ///< Admitted, or held as allowance.
    double committed_by_new = 0;  ///< Of daemons that started in the window.
    std::size_t count = 0;
    std::size_t active_count = 0;  ///< Daemons with requests in the window.

    void Add(const DaemonState& state);
    void Remove(const DaemonState& state);
  };

  /// Replaces the state of a daemon; an empty `state` removes it.
  void SetState(const DaemonInstance& daemon,
                const std::optional<DaemonState>& state);
  /// Upper estimate of the fraction of the quota that known daemons which do
  /// not report to this coordinator may have used.
  [[nodiscard]] double MissingFraction(std::size_t reporting_daemons) const;
  /// Removes daemons that can have admitted nothing in the window.
  void RemoveExpired(TimePoint now);
  /// Counts the unused allowance of earlier instances as admitted, until now.
  void RetireEarlierInstances(const DaemonInstance& daemon,
                              const QuotaLimit& limit, TimePoint now);
  /// Totals without `daemon`.
  [[nodiscard]] Sums Others(const DaemonInstance& daemon) const;
  /// Subtracts what the daemon's first report contains from the state that was
  /// handed over.
  void RecordFirstReport(const DaemonInstance& daemon, const QuotaUsage& use);
  /// Tokens of the window that a previous coordinator that granted nothing
  /// since knew to be admitted, and that no daemon has reported to this one.
  [[nodiscard]] double UnreportedTokens(TimePoint now) const;
  /// Upper estimate of the tokens that daemons which do not report may go on
  /// with.
  [[nodiscard]] double UnreportedHolds(std::size_t reporting_daemons,
                                       TimePoint now) const;
  /// Tokens of the window that are not available for a grant: admitted, held by
  /// other daemons, or possibly used by daemons that do not report.
  [[nodiscard]] double CommittedTokens(const Sums& others,
                                       const QuotaUsage& use,
                                       std::size_t reporting_daemons,
                                       TimePoint now) const;
  /// Allowance of the reporting daemon if `left` tokens are available.
  [[nodiscard]] static double Allowance(const Sums& others,
                                        const QuotaUsage& use,
                                        const QuotaLimit& limit, double left);

  std::map<DaemonInstance, DaemonState> daemons_;
  /// By the time until which they count.
  std::set<std::pair<TimePoint, DaemonInstance>> by_end_;
  Sums totals_;
  PriorQuotaState prior_;
  TimePoint prior_until_;
  /// The part of the prior state that daemons have reported since, in tokens.
  struct {
    double admitted = 0;
    double held = 0;  ///< That they go on with if they get no reply.
  } prior_reported_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_POOL_H_
