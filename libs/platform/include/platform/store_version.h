#ifndef FIRMOOR_PLATFORM_STORE_VERSION_H_
#define FIRMOOR_PLATFORM_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace firmoor {

/// A point in the history of the platform's store. Revisions increase within an
/// era. When the store returns from an older copy of itself, a new era begins,
/// and the revisions after the copy are given out again. Versions therefore
/// compare by era first.
struct StoreVersion {
  std::int64_t era = 0;       ///< 0 at stores that never return from a copy.
  std::int64_t revision = 0;  ///< 0: before any write; no such object.

  auto operator<=>(const StoreVersion&) const = default;
};

}  // namespace firmoor

#endif  // FIRMOOR_PLATFORM_STORE_VERSION_H_
