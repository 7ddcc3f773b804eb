#ifndef FIRMOOR_HTTP_DETAILS_PLACE_CLAIM_H_
#define FIRMOOR_HTTP_DETAILS_PLACE_CLAIM_H_

#include <compare>

#include "base/time.h"

namespace firmoor::details {

/// What a connection that may give way to a new one keeps its place for. The
/// least claim gives way first.
struct PlaceClaim {
  enum class Kind {
    kAnswered,    ///< It has its last answer, and its caller is to close.
    kOwesFirst,   ///< No whole request has arrived yet.
    kIdle,        ///< It was served; its caller may reuse it, or connect anew.
    kOwesFurther  ///< It was served, and a part of another request arrived.
  };

  Kind kind;
  TimePoint since;

  auto operator<=>(const PlaceClaim&) const = default;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_PLACE_CLAIM_H_
