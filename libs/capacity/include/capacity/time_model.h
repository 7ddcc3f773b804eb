#ifndef FIRMOOR_CAPACITY_TIME_MODEL_H_
#define FIRMOOR_CAPACITY_TIME_MODEL_H_

namespace firmoor {

/// Expected time to the first event or the answer of a request at an idle
/// upstream of a service: a constant, and a time per uncached prompt token.
/// Fitted to recent requests by least squares; a prior holds the time per token
/// until requests of different sizes were seen. Performs no I/O.
class TimeModel {
 public:
  /// `prior_tokens_per_s`: reading speed assumed without evidence.
  explicit TimeModel(double prior_tokens_per_s);

  /// `tokens`: uncached prompt tokens; 0 for plain requests. `time_s`: without
  /// the time in queues. Single outliers have a bounded effect.
  void OnSample(double tokens, double time_s);

  /// Whether it has seen enough requests to judge others by.
  [[nodiscard]] bool IsKnown() const;
  /// In seconds.
  [[nodiscard]] double Expected(double tokens) const;
  /// Expected time of a request without uncached tokens, in seconds.
  [[nodiscard]] double Base() const { return Expected(0); }
  [[nodiscard]] double TokensPerS() const;

 private:
  [[nodiscard]] double SecondsPerToken() const;

  double prior_s_per_token_;
  double count_ = 0;  ///< Of samples; older ones count less.
  // Weighted means.
  double tokens_ = 0;
  double time_s_ = 0;
  double tokens_squared_ = 0;
  double tokens_by_time_ = 0;
  double time_squared_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_CAPACITY_TIME_MODEL_H_
