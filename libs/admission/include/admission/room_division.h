#ifndef FIRMOOR_ADMISSION_ROOM_DIVISION_H_
#define FIRMOOR_ADMISSION_ROOM_DIVISION_H_

#include <map>
#include <string>

namespace firmoor {

/// Demand of one workspace and its weight in the division; 0: it has none. All
/// weigh the same if any has none.
struct WeightedDemand {
  double demand = 0;
  double weight = 1;

  bool operator==(const WeightedDemand&) const = default;
};

/// Part of each demand that is served whatever its priority and size, if there
/// is room for `level` of all demand.
double FloorOf(double level);

/// Part of each demand that is served if there is room for `room` requests,
/// from 0 to 1, by priority (0 is the highest). The higher priority is served
/// first, once each has half of the mean share. Pure.
std::map<int, double> DivideByUrgency(const std::map<int, double>& demands,
                                      double room);

/// The same among workspaces of one priority: weighted max-min fair, once each
/// has half of the mean share. Pure.
std::map<std::string, double> DivideFairly(
    const std::map<std::string, WeightedDemand>& demands, double room);

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_ROOM_DIVISION_H_
