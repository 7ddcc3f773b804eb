#include "admission/room_division.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace firmoor {
namespace {

// No class is served less than this part of the mean share: callers that are
// refused always take a service that only has too little room for a broken one.
constexpr double kFloor = 0.5;

double MeanShare(double demand, double room) {
  return demand <= 0 ? 1 : std::clamp(room / demand, 0.0, 1.0);
}

/// Largest amount a unit of weight such that all fit into `room`.
double FairAmount(std::vector<WeightedDemand> demands, double room) {
  std::sort(demands.begin(), demands.end(), [](const auto& a, const auto& b) {
    return a.demand * b.weight < b.demand * a.weight;
  });
  double weights = std::accumulate(
      demands.begin(), demands.end(), 0.0,
      [](double sum, const auto& entry) { return sum + entry.weight; });
  double amount = 0;
  for (const auto& entry : demands) {
    amount = room / weights;
    if (entry.demand > amount * entry.weight) break;
    room -= entry.demand;
    weights -= entry.weight;
    amount = entry.demand / entry.weight;
    if (weights <= 0) break;
  }
  return amount;
}

}  // namespace

double FloorOf(double level) { return kFloor * level; }

std::map<int, double> DivideByUrgency(const std::map<int, double>& demands,
                                      double room) {
  const double total = std::accumulate(
      demands.begin(), demands.end(), 0.0,
      [](double sum, const auto& entry) { return sum + entry.second; });
  const double floor = FloorOf(MeanShare(total, room));
  double rest = std::max(0.0, room - floor * total);
  std::map<int, double> shares;
  for (const auto& [priority, demand] : demands) {
    const double added = std::min((1 - floor) * demand, rest);
    rest -= added;
    shares[priority] = demand > 0 ? floor + added / demand : 1;
  }
  return shares;
}

std::map<std::string, double> DivideFairly(
    const std::map<std::string, WeightedDemand>& demands, double room) {
  double total = 0;
  for (const auto& [name, entry] : demands) total += entry.demand;
  const bool are_weighted =
      std::all_of(demands.begin(), demands.end(),
                  [](const auto& entry) { return entry.second.weight > 0; });
  const auto weight_of = [&](const WeightedDemand& entry) {
    return are_weighted ? entry.weight : 1.0;
  };
  const double floor = FloorOf(MeanShare(total, room));
  std::vector<WeightedDemand> above_floor;
  for (const auto& [name, entry] : demands) {
    if (entry.demand <= 0) continue;
    above_floor.push_back({entry.demand * (1 - floor), weight_of(entry)});
  }
  const double amount =
      FairAmount(above_floor, std::max(0.0, room - floor * total));
  std::map<std::string, double> shares;
  for (const auto& [name, entry] : demands) {
    shares[name] =
        entry.demand > 0
            ? std::min(1.0, floor + amount * weight_of(entry) / entry.demand)
            : 1;
  }
  return shares;
}

}  // namespace firmoor
