#ifndef FIRMOOR_SERVING_TESTS_ATTEMPT_RACE_MODEL_H_
#define FIRMOOR_SERVING_TESTS_ATTEMPT_RACE_MODEL_H_

#include <string>
#include <utility>
#include <vector>

#include "serving/attempt_race.h"

namespace firmoor {

constexpr int kEventsOfStream = 2;

enum class RequestForm { kStream, kIdempotent, kOnce };

/// What an explored request begins with.
struct RaceSetup {
  RequestForm form = RequestForm::kStream;
  int upstreams = 2;
  int retries = 1;  ///< In the budget.
  int max_attempts = 2;
  int earlier_attempts = 0;   ///< Of the daemon that delegated the request.
  bool may_run_again = true;  ///< It does not seem to crash upstreams.
  int lost_picks = 0;  ///< Times that the chosen upstream turns out to be gone.
};

/// One attempt, as its upstream and the exchange see it.
struct ModelAttempt {
  enum class Phase { kConnecting, kReceived, kEnded };

  Phase phase = Phase::kConnecting;
  bool in_flight = true;  ///< The exchange waits for it.
  bool is_silent = false;
  bool declared_not_run = false;
  bool received = false;  ///< The upstream received bytes of the request.
  int first_event = 1;    ///< The caller has those before.
  int next_event = 1;
};

enum class RequestEnd {
  kNone,
  kAnswered,
  kFailurePassed,
  kNotRun,
  kUnknown,
  kCut,
  kCallerLeft,
};

/// A request, its attempts, and the part of the exchange that carries out what
/// `AttemptRace` decides. A value, so that an explorer can copy it.
class RaceModel {
 public:
  explicit RaceModel(const RaceSetup& setup);

  // What may happen. Each returns false if it cannot happen now.
  bool Connect(std::size_t attempt);
  /// The upstream is not reached, or a daemon in between refuses the request.
  bool FailToConnect(std::size_t attempt);
  bool FallSilent(std::size_t attempt);
  /// A part of an event arrives.
  bool SendByte(std::size_t attempt);
  bool SendEvent(std::size_t attempt);
  bool Complete(std::size_t attempt);
  bool AnswerWithError(std::size_t attempt);
  bool BreakOff(std::size_t attempt);
  bool Reject(std::size_t attempt);
  bool LeaveByCaller();
  /// The upstream that is chosen next turns out to be gone.
  bool LosePick();

  /// Everything that later steps depend on.
  [[nodiscard]] std::string Key() const;
  /// Invariants of any state; empty if they hold.
  [[nodiscard]] std::string Check() const;

  [[nodiscard]] const std::vector<ModelAttempt>& attempts() const {
    return attempts_;
  }
  /// Whether the request was answered, or its caller needs no answer.
  [[nodiscard]] bool HasCompleted() const {
    return end_ == RequestEnd::kAnswered || end_ == RequestEnd::kCallerLeft;
  }

 private:
  [[nodiscard]] bool IsStream() const {
    return setup_.form == RequestForm::kStream;
  }
  [[nodiscard]] bool Receives(std::size_t attempt) const;
  [[nodiscard]] bool HasSentNothing(std::size_t attempt) const;
  [[nodiscard]] AttemptRace::Conditions MakeConditions() const;
  [[nodiscard]] int NumberOf(std::size_t attempt) const {
    return static_cast<int>(attempt) + 1;
  }
  [[nodiscard]] std::size_t CountInFlight() const;
  /// Whether an upstream may have run the request, as the upstreams know it.
  [[nodiscard]] bool MayHaveRun() const;
  /// Whether a further attempt may start by the rules, with none in flight.
  [[nodiscard]] bool MayStartAnother() const;
  [[nodiscard]] bool HasUpstream() const;

  // The exchange.
  void TryNext();
  void Send();
  bool TakeRetry();
  void StartBeside();
  void DeliverByte(std::size_t attempt);
  void DeliverEvent(std::size_t attempt, int event);
  void CancelOvertaken(std::size_t winner, const std::vector<int>& overtaken);
  void HandleEnd(std::size_t attempt, const AttemptEnd& end);
  void FailRequest(const AttemptDecision& decision);
  void Refuse(RequestOutcome outcome);
  void Finish(RequestEnd end);
  [[nodiscard]] std::string DescribeRace(std::size_t attempt) const;
  [[nodiscard]] std::string CheckBudget() const;
  void Violate(const char* what) {
    if (violation_.empty()) violation_ = what;
  }

  RaceSetup setup_;
  AttemptRace race_;
  std::vector<ModelAttempt> attempts_;
  int budget_;
  int taken_ = 0;  ///< Retries, from the budget.
  int returned_ = 0;
  int arrivals_ = 0;   ///< At upstreams.
  int events_ = 0;     ///< That the caller has.
  int overtaken_ = 0;  ///< Attempts.
  bool answer_started_ = false;
  /// The end by the last answer that reports an error.
  RequestEnd failed_answer_ = RequestEnd::kNone;
  bool caller_left_ = false;
  bool next_pick_is_lost_ = false;
  RequestEnd end_ = RequestEnd::kNone;
  std::string violation_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_TESTS_ATTEMPT_RACE_MODEL_H_
