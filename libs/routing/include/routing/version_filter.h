#ifndef FIRMOOR_ROUTING_VERSION_FILTER_H_
#define FIRMOOR_ROUTING_VERSION_FILTER_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace firmoor {

/// Upstreams that a request may be sent to while a service moves to another
/// software version. The default lets all pass.
struct VersionFilter {
  std::string avoid;            ///< Version that gets nothing; empty: none.
  std::string only;             ///< Version that gets all; empty: any.
  std::set<std::string> among;  ///< Ids of the only upstreams; empty: any.
  /// Versions that get nothing since they were reverted earlier.
  std::set<std::string, std::less<>> reverted;

  [[nodiscard]] bool Passes(const std::string& upstream,
                            std::string_view version) const {
    return (avoid.empty() || avoid != version) &&
           (only.empty() || only == version) &&
           (among.empty() || among.contains(upstream)) &&
           !reverted.contains(version);
  }

  bool operator==(const VersionFilter&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_ROUTING_VERSION_FILTER_H_
