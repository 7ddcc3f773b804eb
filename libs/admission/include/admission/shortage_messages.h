#ifndef FIRMOOR_ADMISSION_SHORTAGE_MESSAGES_H_
#define FIRMOOR_ADMISSION_SHORTAGE_MESSAGES_H_

#include <compare>
#include <map>
#include <string>

namespace firmoor {

/// Requests of one service that compete on equal terms.
struct DemandClass {
  int priority = 0;       ///< 0 is the highest.
  std::string workspace;  ///< Empty: all workspaces together.

  auto operator<=>(const DemandClass&) const = default;
};

/// Numbers of requests. A request that is refused and comes back counts again.
struct DemandCounts {
  double offered = 0;
  double admitted = 0;
  double short_of_room = 0;  ///< Refused, as no upstream had room in time.

  DemandCounts& operator+=(const DemandCounts& other);
  bool operator==(const DemandCounts&) const = default;
};

using ServiceDemand = std::map<DemandClass, DemandCounts>;

/// Demand at one daemon since its last report.
struct ShortageReport {
  std::map<std::string, ServiceDemand> services;

  bool operator==(const ShortageReport&) const = default;
};

/// Part of the requests of one priority that is admitted, from 0 to 1.
struct PriorityShare {
  double share = 1;
  /// Part of all admitted requests that are as urgent or more urgent.
  double ahead = 1;
  std::map<std::string, double> workspaces;  ///< Those that differ from it.

  bool operator==(const PriorityShare&) const = default;
};

/// Admission level of one service.
struct ServiceShares {
  double level = 1;  ///< Part of all requests that there is room for.
  std::map<int, PriorityShare> priorities;  ///< Those that are not listed: all.

  /// Part of the requests of `priority` and `workspace` that is admitted.
  [[nodiscard]] double ShareOf(int priority,
                               const std::string& workspace) const;

  /// Part of them that is served even if more urgent ones could fill the room.
  [[nodiscard]] double FloorOf(int priority,
                               const std::string& workspace) const;

  bool operator==(const ServiceShares&) const = default;
};

/// The coordinator's reply: the services that are short of room.
struct ShortageReply {
  /// False in replies of earlier builds, and of a coordinator that has not seen
  /// a whole period; `services` then has no meaning.
  bool is_known = false;
  std::map<std::string, ServiceShares> services;

  bool operator==(const ShortageReply&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_SHORTAGE_MESSAGES_H_
