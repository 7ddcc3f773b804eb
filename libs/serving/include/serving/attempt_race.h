#ifndef FIRMOOR_SERVING_ATTEMPT_RACE_H_
#define FIRMOOR_SERVING_ATTEMPT_RACE_H_

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "serving/attempt_policy.h"

namespace firmoor {

/// What follows the end of an attempt.
enum class RaceStep {
  kPassAnswer,  ///< Forward its complete answer; the others are cancelled.
  kGoOn,        ///< Others are in flight, which go on with the request.
  kTryNext,     ///< Start again, or resume, at another upstream.
  kFail,        ///< Nothing is left: answer with the decision's code.
};

/// The attempts of one request, of which two may be in flight at the same time.
///
/// While the upstream of one attempt is silent, a second one may start beside
/// it. The first of them that brings the next part of the response (an event,
/// or a complete answer) goes on with the request, and the other one is
/// cancelled only then, since a silent upstream may go on at any moment. An
/// attempt that ends without it is dropped while another is in flight. Requests
/// that must not run twice never have two attempts. Performs no I/O.
class AttemptRace {
 public:
  /// Attempts that may be in flight at the same time.
  static constexpr std::size_t kMaxInFlight = 2;

  /// What decisions depend on beside the attempts.
  struct Conditions {
    bool idempotent = false;
    bool answer_started = false;  ///< Answer bytes were sent to the caller.
    bool resumable = false;       ///< Another upstream can continue it.
    int max_attempts = kMaxAttempts;
    bool may_ask_earlier = false;  ///< See `AttemptContext`.
    bool may_run_again = true;     ///< It does not seem to crash upstreams.
    Duration time_left{0};         ///< Until the deadline.
    bool retry_available = false;  ///< In the retry budget.

    bool operator==(const Conditions&) const = default;
  };
  struct Decision {
    RaceStep step = RaceStep::kFail;
    AttemptDecision attempt;
    /// To be cancelled, since their answer is not needed any more.
    std::vector<int> overtaken;

    bool operator==(const Decision&) const = default;
  };

  /// `earlier_attempts`: made by the daemon that delegated the request.
  explicit AttemptRace(int earlier_attempts = 0) : counted_(earlier_attempts) {}

  /// Whether the next attempt is a repeat, which draws on the retry budget.
  [[nodiscard]] bool NeedsRetry() const;
  /// A retry was taken from the budget for the next attempt that is sent.
  void AddRetry() { ++retries_; }
  /// Returns whether a retry was taken and not used, and forgets one.
  bool TakeUnusedRetry();

  /// Records a new attempt; returns its number. `counts`: towards the limit of
  /// attempts.
  int Start(bool counts);
  /// The attempt's upstream has been silent for its time-out.
  void OnSilent(int attempt);
  /// A byte of the attempt's response arrived.
  void OnByte(int attempt);
  /// The next event arrived. Returns the attempts to be cancelled.
  [[nodiscard]] std::vector<int> OnNextPart(int attempt) const;
  /// The attempt has ended. `counts`: towards the limit of attempts.
  Decision OnEnd(int attempt, const AttemptEnd& end, bool counts,
                 const Conditions& conditions);
  /// The attempt was cancelled or replaced.
  void OnCancelled(int attempt, bool may_have_been_sent, bool counts);

  /// What follows, for logs: "go-on", or the name of the attempt's next step.
  static std::string_view NameOfNext(const Decision& decision);

  /// What keeps an upstream from being asked what follows the answer of an
  /// attempt that has ended.
  [[nodiscard]] AttemptObstacle Obstacle(const Conditions& conditions) const {
    return ObstacleToQuestion(ContextOf(conditions, true));
  }
  /// Whether another attempt may start beside those in flight, which are all
  /// silent.
  [[nodiscard]] bool MayStartBeside(const Conditions& conditions) const;

  [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }
  /// Attempts that have ended and may have sent bytes.
  [[nodiscard]] int sends() const { return sends_; }
  /// Attempts that count towards the limit, those in flight included.
  [[nodiscard]] int attempts() const;
  /// Whether an attempt that has ended may have run.
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }

 private:
  struct InFlight {
    bool counts = true;
    bool is_silent = false;
  };

  /// Attempts that were or may still be sent. All but one need a retry,
  /// whichever of them is the first to be sent.
  [[nodiscard]] int PossibleSends() const;
  [[nodiscard]] std::vector<int> Others(int attempt) const;
  /// Removes the attempt and records whether it was sent. Returns false if it
  /// is not in flight.
  bool Remove(int attempt, bool may_have_been_sent, bool counts);
  [[nodiscard]] AttemptContext ContextOf(const Conditions& conditions,
                                         bool ran) const;

  std::map<int, InFlight> in_flight_;
  int last_number_ = 0;
  int sends_ = 0;
  int counted_ = 0;  ///< Attempts that have ended.
  int retries_ = 0;  ///< Taken from the budget and not forgotten.
  bool may_have_run_ = false;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_ATTEMPT_RACE_H_
