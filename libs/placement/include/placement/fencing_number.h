#ifndef FIRMOOR_PLACEMENT_FENCING_NUMBER_H_
#define FIRMOOR_PLACEMENT_FENCING_NUMBER_H_

#include <algorithm>
#include <cstdint>

#include "platform/store_version.h"

namespace firmoor {

// Lower bits of a fencing number: revisions of the store. The upper ones hold
// the era. Numbers stay below 2^53, which every reader of JSON keeps, for 8,191
// eras of 10^12 revisions.
constexpr int kFencingRevisionBits = 40;

/// The era of the store in which a fencing number was given out; 0 for numbers
/// of releases that know no eras.
constexpr std::int64_t EraOfFencing(std::int64_t fencing) {
  return fencing >> kFencingRevisionBits;
}

/// The number of a term that begins with replacing the lease at version
/// `replaced`: above `previous`, above every number of earlier eras, and above
/// every number of this era that was given out with an earlier revision. The
/// last holds also if the lease no longer tells them, because a write of an
/// earlier era replaced it.
constexpr std::int64_t NextFencing(std::int64_t previous,
                                   const StoreVersion& replaced) {
  if (replaced.era == 0) return previous + 1;
  const auto first = replaced.era << kFencingRevisionBits;
  return std::max(previous, first + replaced.revision) + 1;
}

}  // namespace firmoor

#endif  // FIRMOOR_PLACEMENT_FENCING_NUMBER_H_
