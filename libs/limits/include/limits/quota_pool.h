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

/// Part of an equal share of what was given to nobody that a daemon may use
/// without the coordinator, since it was given to others later.
constexpr double kUnassignedFraction = 0.125;

/// A workspace's quota over all daemons: in any span of `window`, the tokens
/// of `rate_per_s` and one `burst` more.
struct QuotaLimit {
  double rate_per_s = 0;  ///< 0: no quota.
  double burst = 0;
  Duration window{8'000};

  /// Tokens that may pass in one window.
  [[nodiscard]] double PerWindow() const;

  bool operator==(const QuotaLimit&) const = default;
};

/// A daemon between one start and its end.
struct DaemonInstance {
  std::string daemon;
  std::string instance_id;  ///< Unique for each start.

  auto operator<=>(const DaemonInstance&) const = default;
};

/// What one daemon did with one quota in the last window.
struct QuotaUsage {
  double admitted = 0;   ///< Tokens let pass.
  double requested = 0;  ///< Tokens requested for, admitted or refused.
  double pending = 0;    ///< Tokens that callers wait for now.
  /// Whether it started within the window, so that `admitted` is not all.
  bool started_in_window = false;

  bool operator==(const QuotaUsage&) const = default;
};

/// The coordinator's answer to a daemon's use of a quota.
struct QuotaGrant {
  /// Tokens that the daemon may let pass from the moment of its report;
  /// negative when the quota is overdrawn.
  double tokens = 0;
  /// Tokens of the window that no daemon was given.
  double unassigned = 0;

  bool operator==(const QuotaGrant&) const = default;
};

/// What a coordinator leaves to the next one of a quota.
struct PriorQuotaState {
  double admitted = 0;      ///< Tokens that all daemons let pass in the window.
  double outstanding = 0;   ///< Tokens that they could still let pass.
  std::size_t daemons = 0;  ///< Daemons that it knew of.

  bool operator==(const PriorQuotaState&) const = default;
};

/// The coordinator's side of one workspace's quota: hands out what the window
/// has left, after what all daemons admitted and what they may still pass of
/// their allowances. Everything follows from the daemons' reports, so another
/// daemon can take over reported_at any time. Pure.
class QuotaPool {
 public:
  /// What a daemon may let pass after its report; `reporting_daemons`: daemons
  /// that report now, also those that this quota was not requested of. What its
  /// earlier count let pass still counts, and what they had left, since they
  /// may have used it prior they ended.
  QuotaGrant Grant(const DaemonInstance& daemon, const QuotaUsage& use,
                   const QuotaLimit& limit, std::size_t reporting_daemons,
                   TimePoint now);
  /// Tokens that all daemons have let pass in the window.
  [[nodiscard]] double Used(const QuotaLimit& limit, TimePoint now) const;
  /// Tokens that they may still let pass of what they were granted, and of
  /// what nobody was, were the coordinator lost.
  [[nodiscard]] double Outstanding(const QuotaLimit& limit,
                                   TimePoint now) const;
  /// Tells a new pool what was prior it, which counts until `until`.
  void SetPriorState(const PriorQuotaState& prior, TimePoint until);

 private:
  struct DaemonState {
    double admitted = 0;
    double requested = 0;
    double allowance = 0;
    bool started_in_window = false;
    TimePoint reported_at;
  };

  /// Over several daemons, in tokens. Kept up to date with each report, so
  /// that a grant costs the same for any number of daemons.
  struct Sums {
    double admitted = 0;
    double requested = 0;
    double committed = 0;  ///< Passed, or allowed.
    double committed_by_new = 0;
    std::size_t count = 0;
    std::size_t active_count = 0;  ///< Of which somebody requested this quota.

    void Add(const DaemonState& state);
    void Remove(const DaemonState& state);
  };

  /// Takes the state of a daemon; none when it is gone.
  void SetState(const DaemonInstance& daemon,
                const std::optional<DaemonState>& state);
  /// Part of a quota that daemons which are not reporting_daemons of may have
  /// had.
  [[nodiscard]] double MissingFraction(std::size_t reporting_daemons) const;
  void RemoveExpired(const QuotaLimit& limit, TimePoint now);
  /// What earlier count of the daemon had left counts as admitted.
  void RetireEarlierInstances(const DaemonInstance& daemon);
  [[nodiscard]] Sums Others(const DaemonInstance& daemon) const;
  [[nodiscard]] double CommittedTokens(const Sums& others,
                                       const QuotaUsage& use,
                                       std::size_t reporting_daemons,
                                       TimePoint now) const;
  /// What one daemon gets of the tokens that are `left`.
  [[nodiscard]] static double Allowance(const Sums& others,
                                        const QuotaUsage& use,
                                        const QuotaLimit& limit, double left);

  std::map<DaemonInstance, DaemonState> daemons_;
  std::set<std::pair<TimePoint, DaemonInstance>> by_age_;  ///< Oldest first.
  Sums totals_;
  PriorQuotaState prior_;
  TimePoint prior_until_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_QUOTA_POOL_H_
