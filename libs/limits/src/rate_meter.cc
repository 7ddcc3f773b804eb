#include "limits/rate_meter.h"

#include <algorithm>
#include <cmath>

namespace firmoor {
namespace {

constexpr double kMsPerSecond = 1'000;
// Shortest observation time, since a single amount gives no rate.
constexpr Duration kMinAge{1'000};

}  // namespace

double RateMeter::Decayed(const DecayingSum& sum, TimePoint now) const {
  const auto age = static_cast<double>((now - sum.updated_at).count());
  return sum.value *
         std::exp(-age / static_cast<double>(time_constant_.count()));
}

void RateMeter::Add(const std::string& name, double amount, TimePoint now) {
  auto& sum = sums_.try_emplace(name, DecayingSum{now, 0, now}).first->second;
  sum.value = Decayed(sum, now) + amount;
  sum.updated_at = now;
}

double RateMeter::Rate(const DecayingSum& sum, TimePoint now) const {
  const double time_constant_s =
      static_cast<double>(time_constant_.count()) / kMsPerSecond;
  // Part of the total weight that lies after the first amount.
  const auto age = std::max(now - sum.since, kMinAge);
  const double observed_weight =
      1 - std::exp(-static_cast<double>(age.count()) /
                   static_cast<double>(time_constant_.count()));
  return Decayed(sum, now) / (time_constant_s * observed_weight);
}

std::map<std::string, double> RateMeter::Rates(TimePoint now) const {
  std::map<std::string, double> rates;
  for (const auto& [name, sum] : sums_) rates[name] = Rate(sum, now);
  return rates;
}

double RateMeter::RateOf(const std::string& name, TimePoint now) const {
  const auto found = sums_.find(name);
  return found == sums_.end() ? 0 : Rate(found->second, now);
}

}  // namespace firmoor
