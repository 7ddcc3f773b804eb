#include "gateway/daemon_directory.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <string>
#include <vector>

namespace firmoor {
namespace {

std::map<std::string, DaemonLocation> Daemons(int first, int count) {
  std::map<std::string, DaemonLocation> daemons;
  for (int i = first; i < first + count; ++i) {
    daemons[fmt::format("d{:03}", i)] = {
        "r",
        {"10.0.0.1", static_cast<std::uint16_t>(1'000 + i)},
        fmt::format("z{}", i % 3)};
  }
  return daemons;
}

}  // namespace

TEST_CASE("the coordinator's directory of daemons") {
  DaemonDirectory directory(7);
  directory.SetDaemons(Daemons(0, 74));

  SUBCASE("is given whole to a daemon that has none") {
    const auto update = directory.UpdateSince({});
    CHECK(update.is_full);
    CHECK(update.position.term == 7);
    REQUIRE(update.added.size() == 74);
    CHECK(update.added.front() ==
          PeerAddress{"d000", "z0", {"10.0.0.1", 1'000}});
    CHECK(DecodeDirectoryUpdate(EncodeDirectoryUpdate(update)) == update);

    SUBCASE("and then only its changes") {
      CHECK(directory.UpdateSince(update.position).added.empty());
      directory.SetDaemons(Daemons(2, 73));
      const auto changes = directory.UpdateSince(update.position);
      CHECK_FALSE(changes.is_full);
      CHECK(changes.added ==
            std::vector<PeerAddress>{{"d074", "z2", {"10.0.0.1", 1'074}}});
      CHECK(changes.removed == std::vector<std::string>{"d000", "d001"});
      CHECK(DecodeDirectoryUpdate(EncodeDirectoryUpdate(changes)) == changes);
    }
    SUBCASE("and a new address of a daemon that it has") {
      auto moved = Daemons(0, 74);
      moved["d003"].peer_endpoint.port = 9;
      directory.SetDaemons(moved);
      const auto changes = directory.UpdateSince(update.position);
      REQUIRE(changes.added.size() == 1);
      CHECK(changes.added.front().endpoint.port == 9);
    }
  }
  SUBCASE("is given whole after a change of the coordinator") {
    CHECK(directory.UpdateSince({6, 2}).is_full);
  }
  SUBCASE("is given whole to a daemon that has missed too many changes") {
    const auto position = directory.UpdateSince({}).position;
    for (int i = 1; i <= 300; ++i) directory.SetDaemons(Daemons(i, 74));
    const auto update = directory.UpdateSince(position);
    CHECK(update.is_full);
    CHECK(update.added.size() == 74);
  }
  SUBCASE("leaves out entries that cannot be called") {
    auto update = directory.UpdateSince({});
    update.added.front().endpoint.port = 0;
    CHECK(DecodeDirectoryUpdate(EncodeDirectoryUpdate(update)).added.size() ==
          73);
    CHECK(DecodeDirectoryUpdate(QCborValue(12)) == DirectoryUpdate{});
  }
}

}  // namespace firmoor
