#ifndef FIRMOOR_ADMISSION_SERVICE_KINDS_H_
#define FIRMOOR_ADMISSION_SERVICE_KINDS_H_

#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// The priorities of the requests for one service, with their objectives.
/// Immutable.
class ServiceKinds {
 public:
  /// Adds kinds of requests, then builds.
  class Builder {
   public:
    Builder& Add(int priority, Duration objective);
    [[nodiscard]] ServiceKinds Build() const;

   private:
    std::map<int, Duration> objectives_;
  };

  /// Whether requests of several priorities share the service.
  [[nodiscard]] bool AreSeveral() const { return objectives_.size() > 1; }
  [[nodiscard]] int MostUrgent() const;
  /// Longest wait for a slot that a request of `priority` is admitted with. Not
  /// shorter than that of any less urgent one.
  [[nodiscard]] Duration ToleratedWait(int priority) const;

  bool operator==(const ServiceKinds&) const = default;

 private:
  explicit ServiceKinds(std::map<int, Duration> objectives)
      : objectives_(std::move(objectives)) {}

  std::map<int, Duration> objectives_;  ///< Longest, by priority.
};

/// By service.
using KindsByService = std::map<std::string, ServiceKinds>;

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_SERVICE_KINDS_H_
