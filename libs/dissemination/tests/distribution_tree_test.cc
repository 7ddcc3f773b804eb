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
          "east",
          {"10.0.0.1", static_cast<std::uint16_t>(1'000 + i)},
          "east-1"};
    }
    tree.SetDaemons(daemons);
  }
  [[nodiscard]] std::vector<Endpoint> Sources(int i) const {
    return tree.SourcesOf(fmt::format("d{:04}", i), "east");
  }
  /// Number of daemons between a daemon and the store, along preferred sources.
  [[nodiscard]] int Depth(int i) const {
    int depth = 0;
    for (auto at = Sources(i); !at.empty(); at = Sources(at[0].port - 1'000)) {
      ++depth;
    }
    return depth;
  }
};

}  // namespace

TEST_CASE("a large region has two store readers and a bounded tree") {
  for (const int count : {10, 30, 65, 222}) {
    CAPTURE(count);
    const Fleet fleet(count);
    int readers = 0;
    std::map<Endpoint, int> child_counts;
    for (int i = 0; i < count; ++i) {
      const auto sources = fleet.Sources(i);
      if (sources.empty()) {
        ++readers;
        continue;
      }
      REQUIRE(sources.size() == 2);
      CHECK(sources[0] != sources[1]);
      ++child_counts[sources[0]];
      CHECK(fleet.Depth(i) <= 2);
    }
    CHECK(readers == DistributionTree::kReadersPerRegion);
    for (const auto& [daemon, children] : child_counts) {
      CHECK(children <= static_cast<int>(DistributionTree::kFanOut));
    }
  }
}

TEST_CASE("all daemons of a small region read the store") {
  const Fleet fleet(DistributionTree::kMaxDirectReaders);
  for (int i = 0; i < 6; ++i) CHECK(fleet.Sources(i).empty());
}

TEST_CASE("when a daemon leaves the tree") {
  Fleet fleet(30);
  SUBCASE("another daemon takes its place, whatever its rank") {
    for (const int removed : {0, 1, 5, 14, 29}) {
      Fleet remaining(30);
      remaining.daemons.erase(fmt::format("d{:04}", removed));
      remaining.tree.SetDaemons(remaining.daemons);
      int readers = 0;
      for (int i = 0; i < 30; ++i) {
        if (i == removed) continue;
        const auto sources = remaining.Sources(i);
        if (sources.empty()) ++readers;
        for (const auto& source : sources) {
          CHECK(source.port != 1'000 + removed);
        }
      }
      CHECK(readers == DistributionTree::kReadersPerRegion);
    }
  }
  SUBCASE("it reads from the store readers while it still runs") {
    fleet.daemons.erase("d0000");
    fleet.tree.SetDaemons(fleet.daemons);
    const auto sources = fleet.Sources(0);
    REQUIRE(sources.size() == 2);
    for (const auto& source : sources) {
      CHECK(fleet.Sources(source.port - 1'000).empty());
    }
  }
}

TEST_CASE("a daemon of a region without known daemons reads the store") {
  const Fleet fleet(30);
  CHECK(fleet.tree.SourcesOf("other", "west").empty());
}

}  // namespace firmoor
