#ifndef FIRMOOR_LIMITS_ANNOUNCED_LIMITS_H_
#define FIRMOOR_LIMITS_ANNOUNCED_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firmoor {

/// What one run of an upstream last announced about the request rate that it
/// accepts from all daemons together.
struct AnnouncedLimit {
  std::int64_t born_ms = 0;          ///< Identifies the run; 0: unknown.
  std::optional<double> rate_per_s;  ///< Empty: it has withdrawn its limit.
  TimePoint announced_at;            ///< Arrival of the response.

  bool operator==(const AnnouncedLimit&) const = default;
};

/// Effect of an announcement on the limit that is in force.
enum class LimitChange { kNone, kLearned, kChanged, kWithdrawn };

/// "learned" and so on, for logs.
std::string_view NameOf(LimitChange change);

/// Rate limits that overloaded upstreams announce in their responses. The
/// latest announcement of the latest run of an upstream counts, whichever
/// daemon received it. A limit stays in force until a response comes without
/// one. Performs no I/O.
class AnnouncedLimits {
 public:
  /// Records an announcement of the upstream `id`. Responses without a limit
  /// are ignored for upstreams that never announced one.
  LimitChange Apply(const std::string& id, const AnnouncedLimit& announced);

  /// The limit in force; null if there is none.
  [[nodiscard]] const AnnouncedLimit* Find(const std::string& id,
                                           std::int64_t born_ms) const;
  /// Upstreams that have announced a limit, also those that withdrew it.
  [[nodiscard]] const std::map<std::string, AnnouncedLimit>& all() const {
    return limits_;
  }
  /// Number of limits in force.
  [[nodiscard]] std::size_t InForceCount() const;
  /// Removes upstreams that have announced nothing for so long that they have
  /// probably ended, and returns their ids.
  std::vector<std::string> RemoveForgotten(TimePoint now);

 private:
  std::map<std::string, AnnouncedLimit> limits_;  ///< By upstream id.
};

}  // namespace firmoor

#endif  // FIRMOOR_LIMITS_ANNOUNCED_LIMITS_H_
