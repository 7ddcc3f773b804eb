#include "config/startup_version.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("a daemon that has just started learns the version in force") {
  StartupVersion start;

  SUBCASE("the store's read lags behind what the peers serve") {
    start.OnVersion(3);
    start.OnStoreAnswered();
    SUBCASE("so it isn't enough alone") { CHECK_FALSE(start.IsKnown()); }
    SUBCASE("and a peer's newer version has to be reached") {
      start.OnPeerTold(4);
      start.OnPeersAsked();
      CHECK_FALSE(start.IsKnown());
      start.OnVersion(4);
      CHECK(start.IsKnown());
    }
    SUBCASE("unless no peer answers at all") {
      start.OnPeersAsked();
      CHECK(start.IsKnown());
    }
  }
  SUBCASE("the store is away") {
    start.OnPeersAsked();
    SUBCASE("peers that know nothing themselves don't help") {
      start.OnPeerTold(0);
      CHECK_FALSE(start.IsKnown());
    }
    SUBCASE("a peer's version does") {
      start.OnPeerTold(2);
      start.OnVersion(2);
      CHECK(start.IsKnown());
    }
  }
  SUBCASE("a fleet without any configuration serves its version 0") {
    start.OnPeerTold(0);
    start.OnPeersAsked();
    start.OnStoreAnswered();
    CHECK(start.IsKnown());
  }
  SUBCASE("what is known stays known when newer versions are told") {
    start.OnStoreAnswered();
    start.OnPeersAsked();
    REQUIRE(start.IsKnown());
    start.OnPeerTold(9);
    CHECK(start.IsKnown());
  }
}

}  // namespace firmoor
