#ifndef FIRMOOR_SERVING_RETRY_BUDGET_H_
#define FIRMOOR_SERVING_RETRY_BUDGET_H_

#include <cstddef>

namespace firmoor {

/// Limits retries to a ratio of first attempts, so that the loss of an
/// availability zone causes no retry storm: each new request adds a fraction of
/// a retry, up to `burst`, which covers periods with few requests. Performs no
/// I/O.
class RetryBudget {
 public:
  /// `ratio`: retries per new request; `burst`: the most that accumulate.
  RetryBudget(double ratio, double burst);

  /// A daemon's share of a burst that all daemons have together; at least one
  /// retry, or it could never retry.
  static double ShareOf(double total_burst, std::size_t daemons);

  /// A new request was accepted.
  void OnRequest();

  /// Consumes one retry; false when the budget is exhausted.
  bool TryTake();

  /// Gives back a retry that was taken and not used.
  void Return();

  void SetRatio(double ratio) { ratio_ = ratio; }

  /// Changes the burst, for instance when more daemons share it.
  void SetBurst(double burst);

  [[nodiscard]] double available() const { return available_; }

 private:
  double ratio_;
  double burst_;
  double available_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_RETRY_BUDGET_H_
