#include "dissemination/distribution_tree.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace firmoor {
namespace {

struct Fleet {
  std::map<std::string, DaemonLocation> daemons;
  DistributionTree tree;

  explicit Fleet(int count) {
    for (int i = 0; i < count; ++i) {
      daemons[fmt::format("d{:04}", i)] = {
          "east", {"10.0.0.1", static_cast<std::uint16_t>(1'000 + i)}};
    }
    tree.SetDaemons(daemons);
  }
  [[nodiscard]] std::vector<Endpoint> Sources(int i) const {
    return tree.SourcesOf(fmt::format("d{:04}", i), "east");
  }
  /// Steps from a daemon to the store by its preferred sources.
  [[nodiscard]] int Depth(int i) const {
    int depth = 0;
    for (auto at = Sources(i); !at.empty(); at = Sources(at[0].port - 1'000)) {
      ++depth;
    }
    return depth;
  }
};

}  // namespace

TEST_CASE("in a large region") {
  for (const int count : {10, 30, 65, 222}) {
    CAPTURE(count);
    const Fleet fleet(count);
    int readers = 0;
    std::map<Endpoint, int> asked;
    for (int i = 0; i < count; ++i) {
      const auto sources = fleet.Sources(i);
      if (sources.empty()) {
        ++readers;
        continue;
      }
      REQUIRE(sources.size() == 2);
      CHECK(sources[0] != sources[1]);
      ++asked[sources[0]];
      CHECK(fleet.Depth(i) <= 2);
    }
    CHECK(readers == DistributionTree::kReadersPerRegion);
    for (const auto& [daemon, count_of] : asked) {
      CHECK(count_of <= static_cast<int>(DistributionTree::kFanOut));
    }
  }
}

TEST_CASE("in a small region all daemons read the store") {
  const Fleet fleet(DistributionTree::kMaxDirectReaders);
  for (int i = 0; i < 6; ++i) CHECK(fleet.Sources(i).empty());
}

TEST_CASE("when a daemon is gone") {
  Fleet fleet(30);
  SUBCASE("its place is taken, whichever it was") {
    for (const int gone : {0, 1, 5, 14, 29}) {
      Fleet rest(30);
      rest.daemons.erase(fmt::format("d{:04}", gone));
      rest.tree.SetDaemons(rest.daemons);
      int readers = 0;
      for (int i = 0; i < 30; ++i) {
        if (i == gone) continue;
        const auto sources = rest.Sources(i);
        if (sources.empty()) ++readers;
        for (const auto& source : sources) CHECK(source.port != 1'000 + gone);
      }
      CHECK(readers == DistributionTree::kReadersPerRegion);
    }
  }
  SUBCASE("it reads from the readers while it still runs") {
    fleet.daemons.erase("d0000");
    fleet.tree.SetDaemons(fleet.daemons);
    const auto sources = fleet.Sources(0);
    REQUIRE(sources.size() == 2);
    for (const auto& source : sources) {
      CHECK(fleet.Sources(source.port - 1'000).empty());
    }
  }
}

TEST_CASE("a region that nobody is known of is read from the store") {
  const Fleet fleet(30);
  CHECK(fleet.tree.SourcesOf("other", "west").empty());
}

}  // namespace firmoor
