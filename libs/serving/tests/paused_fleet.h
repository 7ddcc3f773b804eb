#ifndef FIRMOOR_SERVING_TESTS_PAUSED_FLEET_H_
#define FIRMOOR_SERVING_TESTS_PAUSED_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "serving/attempt_race.h"
#include "serving/retry_budget.h"

namespace firmoor {

// The budget that all daemons share, as it is configured by default.
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 50;
// Part of it that daemons use (gateway_context.cc).
constexpr double kUsedFraction = 0.8;

constexpr Duration kTick{20};
constexpr Duration kBudgetWindow{10'000};
constexpr std::size_t kTicksOfWindow = kBudgetWindow / kTick;

/// What a fleet of daemons and its service do.
struct FleetSetup {
  std::size_t daemons = 8;
  double requests_per_s = 1;  ///< To each daemon.
  /// Of a response, one each 100 ms; 0: the response comes as a whole.
  int events = 0;
  Duration pause{0};  ///< Of the whole service.
  /// When the pause begins, all daemons together have no more retries than
  /// they share, as if each could save less than a whole one.
  bool shares_add_up = false;
};

struct FleetCounts {
  std::size_t requests = 0;
  std::size_t repeats = 0;
  std::size_t completed = 0;
  /// Most repeats beyond those that the shared budget allows, in any window;
  /// negative when they stay within it.
  double worst_excess = -1e9;
  /// The same with all that the daemons may have saved instead of the burst.
  double worst_excess_of_saved = -1e9;
  /// Arrivals for each request, in the window with the most.
  double worst_load = 0;
  /// The same of windows in which the budget allows less than two.
  double worst_busy_load = 0;
};

/// A request at one daemon, whose upstreams respond unless they pause.
class FleetRequest {
 public:
  /// `events`: of the response; 0: it comes as a whole after `work`.
  FleetRequest(int events, Duration work, TimePoint now)
      : events_left_(events), is_stream_(events > 0), work_(work) {
    Start(now);
  }

  /// A tick of its upstreams. `is_paused`: they do nothing. Returns whether a
  /// further attempt has arrived.
  bool Advance(TimePoint now, bool is_paused, RetryBudget* budget) {
    if (!is_paused) Work(now);
    if (is_complete_) return false;
    bool is_silent = false;
    for (auto& attempt : attempts_) {
      const auto limit = attempt.has_head ? kIdleTimeout : kFirstByteTimeout;
      if (now - attempt.last_byte < limit) continue;
      attempt.last_byte = now;
      race_.OnSilent(attempt.number);
      is_silent = true;
    }
    return is_silent && StartBeside(now, budget);
  }
  [[nodiscard]] bool is_complete() const { return is_complete_; }

 private:
  struct Attempt {
    int number = 0;
    TimePoint last_byte;
    Duration worked{0};
    bool has_head = false;
  };
  static constexpr Duration kFirstByteTimeout{600};
  static constexpr Duration kIdleTimeout{1'500};
  static constexpr Duration kBetweenEvents{100};

  [[nodiscard]] AttemptRace::Conditions MakeConditions(
      const RetryBudget& budget) const {
    AttemptRace::Conditions conditions;
    conditions.idempotent = true;
    conditions.answer_started = answer_started_;
    conditions.resumable = is_stream_;
    conditions.time_left = kBudgetWindow;
    conditions.retry_available = budget.available() >= 1;
    return conditions;
  }
  void Start(TimePoint now) {
    attempts_.push_back({race_.Start(true), now, Duration(0), false});
  }
  bool StartBeside(TimePoint now, RetryBudget* budget) {
    if (!race_.MayStartBeside(MakeConditions(*budget))) return false;
    if (race_.NeedsRetry()) {
      if (!budget->TryTake()) return false;
      race_.AddRetry();
    }
    Start(now);
    return true;
  }
  void Work(TimePoint now) {
    for (auto& attempt : attempts_) {
      attempt.worked += kTick;
      const auto needed = is_stream_ ? kBetweenEvents : work_;
      if (attempt.worked < needed) continue;
      attempt.worked = Duration(0);
      attempt.last_byte = now;
      attempt.has_head = true;
      race_.OnByte(attempt.number);
      return Deliver(attempt.number);
    }
  }
  /// The attempt brings the next event, or the response.
  void Deliver(int number) {
    for (const int other : race_.OnNextPart(number)) {
      race_.OnCancelled(other, true, true);
    }
    std::erase_if(attempts_, [&](const auto& attempt) {
      return attempt.number != number;
    });
    answer_started_ = true;
    is_complete_ = --events_left_ <= 0;
  }

  int events_left_;
  bool is_stream_;
  Duration work_;
  AttemptRace race_;
  std::vector<Attempt> attempts_;
  bool answer_started_ = false;
  bool is_complete_ = false;
};

/// Daemons that each get requests of one service at a steady rate.
class PausedFleet {
 public:
  explicit PausedFleet(const FleetSetup& setup)
      : setup_(setup),
        share_(
            RetryBudget::ShareOf(kRetryBurst * kUsedFraction, setup.daemons)),
        daemons_(setup.daemons,
                 {RetryBudget(kRetryRatio * kUsedFraction, share_), {}}) {}

  /// A window of calm, the pause, two windows of calm, and the time until all
  /// requests have ended, which counts for nothing.
  FleetCounts Run() {
    const TimePoint start{Duration(100'000)};
    const auto pause_at = start + kBudgetWindow;
    const auto end = pause_at + setup_.pause + 2 * kBudgetWindow;
    auto now = start;
    for (; now < end; now += kTick) {
      if (now == pause_at && setup_.shares_add_up) DrainSurplus();
      Advance(now, now >= pause_at && now < pause_at + setup_.pause);
      Accept(now);
    }
    SumUp();
    for (; now < end + 2 * kBudgetWindow; now += kTick) Advance(now, false);
    return counts_;
  }

 private:
  struct Daemon {
    RetryBudget budget;
    std::vector<FleetRequest> requests;
  };
  struct Tick {
    std::size_t requests = 0;
    std::size_t repeats = 0;
  };

  void Advance(TimePoint now, bool is_paused) {
    ticks_.emplace_back();
    for (auto& daemon : daemons_) {
      for (auto& request : daemon.requests) {
        const bool repeats = request.Advance(now, is_paused, &daemon.budget);
        if (repeats) ++ticks_.back().repeats;
      }
      counts_.completed += std::erase_if(
          daemon.requests,
          [](const auto& request) { return request.is_complete(); });
    }
  }
  void DrainSurplus() {
    double shared = kRetryBurst * kUsedFraction;
    for (auto& daemon : daemons_) {
      shared -= share_;
      if (shared >= 0) continue;
      while (daemon.budget.TryTake()) {
      }
    }
  }
  void Accept(TimePoint now) {
    std::bernoulli_distribution arrives(setup_.requests_per_s *
                                        SecondsOf(kTick));
    // Below the time after which an upstream counts as silent.
    std::uniform_int_distribution<int> work_ms(50, 500);
    for (auto& daemon : daemons_) {
      if (!arrives(random_)) continue;
      ++ticks_.back().requests;
      daemon.budget.OnRequest();
      daemon.requests.emplace_back(setup_.events, Duration(work_ms(random_)),
                                   now);
    }
  }
  void SumUp() {
    const double saved = share_ * static_cast<double>(setup_.daemons);
    Tick window;
    for (std::size_t i = 0; i < ticks_.size(); ++i) {
      counts_.requests += ticks_[i].requests;
      counts_.repeats += ticks_[i].repeats;
      window.requests += ticks_[i].requests;
      window.repeats += ticks_[i].repeats;
      if (i < kTicksOfWindow) continue;
      window.requests -= ticks_[i - kTicksOfWindow].requests;
      window.repeats -= ticks_[i - kTicksOfWindow].repeats;
      Measure(static_cast<double>(window.requests),
              static_cast<double>(window.repeats), saved);
    }
  }
  /// `saved`: retries that all daemons together may have saved.
  void Measure(double requests, double repeats, double saved) {
    const auto raise = [](double* worst, double value) {
      *worst = std::max(*worst, value);
    };
    const double beyond_earned = repeats - kRetryRatio * requests;
    raise(&counts_.worst_excess, beyond_earned - kRetryBurst);
    raise(&counts_.worst_excess_of_saved, beyond_earned - saved);
    if (requests == 0) return;
    const double load = 1 + repeats / requests;
    raise(&counts_.worst_load, load);
    const bool is_busy = kRetryRatio * requests + kRetryBurst < requests;
    if (is_busy) raise(&counts_.worst_busy_load, load);
  }

  FleetSetup setup_;
  double share_;  ///< Of the burst, for each daemon.
  std::vector<Daemon> daemons_;
  std::vector<Tick> ticks_;
  FleetCounts counts_;
  std::mt19937 random_{1};
};

inline std::string Describe(const FleetSetup& setup,
                            const FleetCounts& counts) {
  return fmt::format(
      "{} daemons, {}/s each, {} events, pause {} ms{}: {} requests, {} "
      "repeats; worst window: {:.3f} arrivals a request, {:.1f} repeats beyond "
      "the shared budget\n",
      setup.daemons, setup.requests_per_s, setup.events, setup.pause.count(),
      setup.shares_add_up ? ", shares add up" : "", counts.requests,
      counts.repeats, counts.worst_load, counts.worst_excess);
}

/// Calls `check` for daemons with little and with steady traffic, whole
/// responses, streams of 2 s and of 10 s, and pauses of 1, 1.5 and 2 s.
inline void ForEachPause(std::size_t daemons,
                         const std::function<void(const FleetSetup&)>& check) {
  for (const double requests_per_s : {0.2, 1.0}) {
    for (const int events : {0, 20, 100}) {
      for (const int pause_ms : {1'000, 1'500, 2'000}) {
        check({daemons, requests_per_s, events, Duration(pause_ms)});
      }
    }
  }
}

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_TESTS_PAUSED_FLEET_H_
