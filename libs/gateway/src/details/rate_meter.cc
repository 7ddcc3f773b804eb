#include "details/rate_meter.h"

#include <algorithm>
#include <cmath>

namespace firmoor::details {
namespace {

constexpr double kMsPerSecond = 1'000;
// A single request says nothing about a rate.
constexpr Duration kLeastAge{1'000};

}  // namespace

double RateMeter::Decayed(const Mean& mean, TimePoint now) const {
  const auto age = static_cast<double>((now - mean.at).count());
  return mean.sum * std::exp(-age / static_cast<double>(memory_.count()));
}

void RateMeter::Add(const std::string& name, double amount, TimePoint now) {
  auto& mean = means_.try_emplace(name, Mean{now, 0, now}).first->second;
  mean.sum = Decayed(mean, now) + amount;
  mean.at = now;
}

std::map<std::string, double> RateMeter::Rates(TimePoint now) const {
  std::map<std::string, double> rates;
  const double memory_s = static_cast<double>(memory_.count()) / kMsPerSecond;
  for (const auto& [name, mean] : means_) {
    // Time that the mean has really looked at, as if it were all of one weight.
    const auto age = std::max(now - mean.since, kLeastAge);
    const double seen = 1 - std::exp(-static_cast<double>(age.count()) /
                                     static_cast<double>(memory_.count()));
    rates[name] = Decayed(mean, now) / (memory_s * seen);
  }
  return rates;
}

}  // namespace firmoor::details
