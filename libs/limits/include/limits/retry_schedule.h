#ifndef FIRMOOR_LIMITS_RETRY_SCHEDULE_H_
#define FIRMOOR_LIMITS_RETRY_SCHEDULE_H_

#include <map>
#include <string>

#include "base/time.h"

namespace firmoor {

/// Tells rejected callers when to come back, so that they return at the rate at
/// which they can be served. Performs no I/O.
class RetrySchedule {
 public:
  /// Returns the retry time for the next caller of `service`, of whose callers
  /// `rate_per_s` can be served from `earliest` on.
  TimePoint Next(const std::string& service, TimePoint earliest,
                 double rate_per_s, TimePoint now);

 private:
  std::map<std::string, TimePoint> last_;  ///< By service.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_RETRY_SCHEDULE_H_
