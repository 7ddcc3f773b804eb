#ifndef FIRMOOR_LIMITS_RATE_METER_H_
#define FIRMOOR_LIMITS_RATE_METER_H_

#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Measures rates per second by name as exponentially decaying averages, which
/// are corrected for the short time after a name's first amount. Reads no
/// clock.
class RateMeter {
 public:
  explicit RateMeter(Duration time_constant) : time_constant_(time_constant) {}

  void Add(const std::string& name, double amount, TimePoint now);
  [[nodiscard]] std::map<std::string, double> Rates(TimePoint now) const;
  /// The rate of one name; 0 if nothing was added.
  [[nodiscard]] double RateOf(const std::string& name, TimePoint now) const;
  void Remove(const std::string& name) { sums_.erase(name); }

 private:
  struct DecayingSum {
    TimePoint since;
    double value = 0;  ///< Decays with `time_constant_`.
    TimePoint updated_at;
  };
  [[nodiscard]] double Decayed(const DecayingSum& sum, TimePoint now) const;
  [[nodiscard]] double Rate(const DecayingSum& sum, TimePoint now) const;

  Duration time_constant_;
  std::map<std::string, DecayingSum> sums_;
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_RATE_METER_H_
