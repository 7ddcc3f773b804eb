#ifndef FIRMOOR_ADMISSION_RETRY_TURNS_H_
#define FIRMOOR_ADMISSION_RETRY_TURNS_H_

#include <map>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// Tells the rejected callers of one service when to come back: in order of
/// urgency and of their rejection, at the rate at which room becomes free.
/// Callers come back at any daemon and under another id, so that only the time
/// that they have waited shows whether it is their turn. Performs no I/O.
class RetryTurns {
 public:
  struct Request {
    int priority = 0;  ///< 0 is the highest.
    Duration earliest{0};
    Duration latest{0};     ///< Callers would not wait longer.
    double rate_per_s = 0;  ///< Callers that can be served when they return.

    bool operator==(const Request&) const = default;
  };

  /// Delay until the caller's turn; `latest` if it gets none by then.
  Duration Next(const Request& request, TimePoint now);

  /// Whether a caller that has waited for so long comes at its turn.
  [[nodiscard]] static bool IsTurn(Duration waited, Duration latest);

 private:
  struct Turn {
    TimePoint at;
    int priority = 0;
  };

  std::map<int, Duration> latest_;  ///< Of the last caller, by priority.
  std::vector<Turn> turns_;         ///< Not passed yet.
};

}  // namespace firmoor

#endif  // FIRMOOR_ADMISSION_RETRY_TURNS_H_
