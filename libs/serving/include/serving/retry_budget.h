#ifndef FIRMOOR_SERVING_RETRY_BUDGET_H_
#define FIRMOOR_SERVING_RETRY_BUDGET_H_

namespace firmoor {

/// Bounds retries to a share of fresh requests, so that the loss of a zone
/// causes no storm: each fresh request adds a fraction of a retry, up to a
/// reserve for quiet times. Pure.
class RetryBudget {
 public:
  /// `share` is retries per fresh request, `reserve` the most that is saved.
  RetryBudget(double ratio, double burst);

  /// A fresh request was accepted.
  void OnRequest();

  /// Takes one retry; false when the budget is spent.
  bool TryTake();

  /// Changes the retries per fresh request.
  void SetRatio(double ratio) { ratio_ = ratio; }

  /// Changes the reserve, for instance when more daemons share it.
  void SetBurst(double burst);

  [[nodiscard]] double available() const { return available_; }

 private:
  double ratio_;
  double burst_;
  double available_;
};

}  // namespace firmoor

#endif  // FIRMOOR_SERVING_RETRY_BUDGET_H_
