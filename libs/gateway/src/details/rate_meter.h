#ifndef FIRMOOR_GATEWAY_DETAILS_RATE_METER_H_
#define FIRMOOR_GATEWAY_DETAILS_RATE_METER_H_

#include <map>
#include <string>

#include "base/time.h"

namespace firmoor::details {

/// Amounts a second by name, as a mean that forgets older seconds and is not
/// too low when it has only begun. Pure.
class RateMeter {
 public:
  explicit RateMeter(Duration memory) : memory_(memory) {}

  void Add(const std::string& name, double amount, TimePoint now);
  [[nodiscard]] std::map<std::string, double> Rates(TimePoint now) const;

 private:
  struct Mean {
    TimePoint since;
    double sum = 0;  ///< Decays with `memory_`.
    TimePoint at;
  };
  [[nodiscard]] double Decayed(const Mean& mean, TimePoint now) const;

  Duration memory_;
  std::map<std::string, Mean> means_;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_GATEWAY_DETAILS_RATE_METER_H_
