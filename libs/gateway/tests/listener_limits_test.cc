#include "details/listener_limits.h"

#include <doctest/doctest.h>

#include <limits>

namespace firmoor::details {

// Guards against a crowd of callers that takes the memory or the descriptors
// of a process.
TEST_CASE("listeners leave most of a VM to the rest of the process") {
  SUBCASE("of the memory of a small one") {
    const auto limits = ListenerLimitsFor(160, 65'536);
    CHECK(limits.uploads.shared_bytes == 20 * 1024 * 1024);
    CHECK(limits.caller_connections == 2'560);
  }
  SUBCASE("of few descriptors") {
    for (const std::uint64_t descriptors : {256, 1'024, 4'100}) {
      const auto limits = ListenerLimitsFor(512, descriptors);
      const auto taken =
          limits.caller_connections + 2 * limits.operator_connections;
      CHECK(taken <= descriptors * 5 / 8 + 1);
      CHECK(taken >= descriptors / 2);
    }
  }
  SUBCASE("and bound nothing else where descriptors have no limit") {
    const auto limits =
        ListenerLimitsFor(160, std::numeric_limits<std::uint64_t>::max());
    CHECK(limits.caller_connections == 2'560);
    CHECK(limits.operator_connections == 64);
  }
  SUBCASE("with room for some callers on the smallest") {
    const auto limits = ListenerLimitsFor(16, 16);
    CHECK(limits.caller_connections >= 16);
    CHECK(limits.operator_connections >= 4);
  }
}

}  // namespace firmoor::details
