#include "details/demand_meter.h"

#include <cmath>

namespace firmoor::details {
namespace {

constexpr double kMsPerSecond = 1'000;

}  // namespace

double DemandMeter::Decayed(const Mean& mean, TimePoint now) const {
  const auto age = static_cast<double>((now - mean.at).count());
  return mean.sum * std::exp(-age / static_cast<double>(memory_.count()));
}

void DemandMeter::Add(const std::string& name, double amount, TimePoint now) {
  auto& mean = means_[name];
  mean.sum = Decayed(mean, now) + amount;
  mean.at = now;
}

std::map<std::string, double> DemandMeter::Rates(TimePoint now) const {
  std::map<std::string, double> rates;
  const double memory_s = static_cast<double>(memory_.count()) / kMsPerSecond;
  for (const auto& [name, mean] : means_) {
    rates[name] = Decayed(mean, now) / memory_s;
  }
  return rates;
}

}  // namespace firmoor::details
