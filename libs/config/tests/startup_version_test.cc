#include "config/startup_version.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a starting daemon finds out the version in force") {
  StartupVersion start;

  SUBCASE("a read of the store may lag behind the peers' version") {
    start.OnVersion(3);
    start.OnStoreResponse();
    SUBCASE("so it is not sufficient alone") { CHECK_FALSE(start.IsKnown()); }
    SUBCASE("and a peer's newer version must be reached") {
      start.OnPeerVersion(4);
      start.OnPeersQueried();
      CHECK_FALSE(start.IsKnown());
      start.OnVersion(4);
      CHECK(start.IsKnown());
    }
    SUBCASE("unless no peer answers at all") {
      start.OnPeersQueried();
      CHECK(start.IsKnown());
    }
  }
  SUBCASE("the store is unavailable") {
    start.OnPeersQueried();
    SUBCASE("peers that know no version are not sufficient") {
      start.OnPeerVersion(0);
      CHECK_FALSE(start.IsKnown());
    }
    SUBCASE("a peer's version is sufficient") {
      start.OnPeerVersion(2);
      start.OnVersion(2);
      CHECK(start.IsKnown());
    }
  }
  SUBCASE("version 0 is in force if there is no configuration yet") {
    start.OnPeerVersion(0);
    start.OnPeersQueried();
    start.OnStoreResponse();
    CHECK(start.IsKnown());
  }
  SUBCASE("a known version stays known when newer ones are reported") {
    start.OnStoreResponse();
    start.OnPeersQueried();
    REQUIRE(start.IsKnown());
    start.OnPeerVersion(9);
    CHECK(start.IsKnown());
  }
}

}  // namespace firmoor
