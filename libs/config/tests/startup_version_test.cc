#include "config/startup_version.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a daemon that has just started learns the version in force") {
  StartupVersion start;

  SUBCASE("the store's read lags behind what the peers serve") {
    start.OnVersion(3);
    start.OnStoreResponse();
    SUBCASE("so it isn't enough alone") { CHECK_FALSE(start.IsKnown()); }
    SUBCASE("and a peer's newer version has to be reached") {
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
  SUBCASE("the store is away") {
    start.OnPeersQueried();
    SUBCASE("peers that know nothing themselves don't help") {
      start.OnPeerVersion(0);
      CHECK_FALSE(start.IsKnown());
    }
    SUBCASE("a peer's version does") {
      start.OnPeerVersion(2);
      start.OnVersion(2);
      CHECK(start.IsKnown());
    }
  }
  SUBCASE("a fleet without any configuration serves its version 0") {
    start.OnPeerVersion(0);
    start.OnPeersQueried();
    start.OnStoreResponse();
    CHECK(start.IsKnown());
  }
  SUBCASE("what is known stays known when newer versions are told") {
    start.OnStoreResponse();
    start.OnPeersQueried();
    REQUIRE(start.IsKnown());
    start.OnPeerVersion(9);
    CHECK(start.IsKnown());
  }
}

}  // namespace firmoor
