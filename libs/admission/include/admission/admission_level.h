#ifndef FIRMOOR_ADMISSION_ADMISSION_LEVEL_H_
#define FIRMOOR_ADMISSION_ADMISSION_LEVEL_H_

#include <functional>
#include <optional>
#include <string>

#include "admission/shortage_messages.h"

namespace firmoor {

/// Weight of a workspace in the division of room.
using WorkspaceWeight = std::function<double(const std::string&)>;

/// Learns how much of one service's demand there is room for, and divides that
/// room. While requests find no room, the room is what was admitted; afterwards
/// it grows until it holds all demand. Performs no I/O.
class AdmissionLevel {
 public:
  /// Adds demand to the present period.
  void Add(const ServiceDemand& demand);
  /// Ends the period, which lasts for a second or so.
  void EndPeriod(const WorkspaceWeight& weight_of);

  /// Goes on from the shares that are in force elsewhere, between two periods.
  void Adopt(const std::optional<ServiceShares>& shares);

  /// Empty while there is room for all.
  [[nodiscard]] const std::optional<ServiceShares>& shares() const {
    return shares_;
  }
  /// Whether there has been no demand for a while.
  [[nodiscard]] bool IsIdle() const { return recent_.empty(); }

 private:
  [[nodiscard]] DemandCounts Total() const;
  void Divide(const WorkspaceWeight& weight_of, double demand);

  ServiceDemand recent_;  ///< Decays by half a period.
  DemandCounts newest_;   ///< Of this period.
  std::optional<double> room_;
  std::optional<double>
      told_level_;  ///< By `Adopt`, while there is a shortage.
  std::optional<ServiceShares> shares_;
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_ADMISSION_LEVEL_H_
