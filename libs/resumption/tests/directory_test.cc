#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "resumption/peer_directory.h"

namespace firmoor {
namespace {

constexpr TimePoint kNow{Duration(1'000'000)};

PeerAddress Peer(std::size_t i, std::size_t zones = 3) {
  return {fmt::format("daemon{}", i),
          fmt::format("zone{}", i % zones),
          {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}};
}

PeerDirectory DirectoryOf(std::size_t daemons, std::size_t zones = 3) {
  PeerDirectory directory;
  for (std::size_t i = 0; i < daemons; ++i) directory.Add(Peer(i, zones));
  return directory;
}

std::set<std::string> Names(const std::vector<PeerAddress>& peers) {
  std::set<std::string> names;
  for (const auto& peer : peers) names.insert(peer.daemon);
  return names;
}

std::set<std::string> ZonesOf(const std::vector<PeerAddress>& peers) {
  std::set<std::string> zones;
  for (const auto& peer : peers) zones.insert(peer.availability_zone);
  return zones;
}

std::vector<std::string> Keys(std::size_t count) {
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i) keys.push_back(fmt::format("k{}", i));
  return keys;
}

}  // namespace

TEST_CASE("a directory of daemons chooses those that hold a record") {
  const auto directory = DirectoryOf(30);

  SUBCASE("from different zones, each daemon once") {
    for (const auto& key : Keys(100)) {
      const auto holders = directory.HoldersOf(key, 4);
      CHECK(Names(holders).size() == 4);
      CHECK(ZonesOf(holders).size() == 3);
    }
  }
  SUBCASE("the first of them are the holders of a smaller number") {
    for (const auto& key : Keys(100)) {
      auto more = directory.HoldersOf(key, 6);
      more.resize(4);
      CHECK(more == directory.HoldersOf(key, 4));
    }
  }
  SUBCASE("all alike often") {
    std::map<std::string, int> counts;
    for (const auto& key : Keys(3'000)) {
      for (const auto& name : Names(directory.HoldersOf(key, 4))) {
        ++counts[name];
      }
    }
    REQUIRE(counts.size() == 30);
    // 400 each on average, with a standard deviation of about 20.
    for (const auto& [name, count] : counts) {
      CHECK(count > 280);
      CHECK(count < 520);
    }
  }
  SUBCASE("all of them when there are too few") {
    CHECK(DirectoryOf(3).HoldersOf("key", 4).size() == 3);
    CHECK(PeerDirectory().HoldersOf("key", 4).empty());
  }
  SUBCASE("several of one zone when there is only one") {
    CHECK(Names(DirectoryOf(9, 1).HoldersOf("key", 4)).size() == 4);
  }
}

TEST_CASE("a daemon that joins or leaves changes few holders") {
  auto directory = DirectoryOf(30);
  std::size_t changed = 0;

  SUBCASE("one that joins takes over its share") {
    for (const auto& key : Keys(300)) {
      const auto before = Names(directory.HoldersOf(key, 4));
      auto larger = directory;
      larger.Add(Peer(30));
      const auto after = Names(larger.HoldersOf(key, 4));
      std::size_t lost = 0;
      for (const auto& name : before) lost += after.contains(name) ? 0 : 1;
      CHECK(lost <= 1);
      changed += lost;
    }
    CHECK(changed > 0);
    CHECK(changed < 90);
  }
  SUBCASE("one that leaves is replaced, the others stay") {
    for (const auto& key : Keys(300)) {
      const auto before = Names(directory.HoldersOf(key, 4));
      auto smaller = directory;
      smaller.Remove("daemon7", kNow);
      const auto after = Names(smaller.HoldersOf(key, 4));
      CHECK_FALSE(after.contains("daemon7"));
      for (const auto& name : before) {
        CHECK((name == "daemon7" || after.contains(name)));
      }
    }
  }
  SUBCASE("an excluded one counts as one that left") {
    for (const auto& key : Keys(100)) {
      auto smaller = directory;
      smaller.Remove("daemon7", kNow);
      CHECK(smaller.HoldersOf(key, 4) ==
            directory.HoldersOf(key, 4, "daemon7"));
    }
  }
  SUBCASE("and the directory tells who is there") {
    directory.Remove("daemon7", kNow);
    directory.Remove("unknown", kNow);
    CHECK(directory.size() == 29);
    CHECK_FALSE(directory.Contains("daemon7"));
    directory.Add(Peer(7));
    CHECK(directory.Contains("daemon7"));
  }
  SUBCASE("also while a new coordinator has not heard of all") {
    directory.ExpectConfirmation(kNow);
    directory.Add(Peer(7));
    const auto due = kNow + Duration(10'000);
    directory.ExpectConfirmation(due - Duration(1));
    directory.RemoveUnconfirmed(due - Duration(1));
    CHECK(directory.size() == 30);
    directory.RemoveUnconfirmed(due);
    CHECK(directory.size() == 1);
    CHECK(directory.Contains("daemon7"));
  }
}

// Guards against a stream that goes on at the version of before the release,
// because daemons that moved up in place of lost holders have no record of it.
TEST_CASE("a daemon that moved up in place of a holder does not count as one") {
  auto directory = DirectoryOf(30);
  const auto since = kNow - Duration(31'000);
  const auto first = directory.HoldersOf("key", 4);
  for (const auto& holder : first) directory.Remove(holder.daemon, kNow);
  const auto second = directory.HoldersOf("key", 4);

  SUBCASE("while the one that left is remembered") {
    for (const auto& holder : second) {
      CHECK_FALSE(directory.HeldBySince("key", 4, holder.daemon, since));
    }
  }
  SUBCASE("but later") {
    for (const auto& holder : second) {
      CHECK(directory.HeldBySince("key", 4, holder.daemon, kNow + Duration(1)));
    }
  }
  SUBCASE("until it is forgotten, well beyond the time of any stream") {
    directory.Remove("daemon0", kNow + Duration(300'000));
    CHECK_FALSE(directory.HeldBySince("key", 4, second[0].daemon, since));
    directory.Remove("daemon0", kNow + Duration(300'001));
    CHECK(directory.HeldBySince("key", 4, second[0].daemon, since));
  }
  SUBCASE("nor does one that has left") {
    CHECK_FALSE(directory.HeldBySince("key", 4, first[0].daemon, since));
  }
  SUBCASE("also when the whole list was replaced") {
    auto replaced = DirectoryOf(30);
    replaced.ExpectConfirmation(kNow - Duration(10'000));
    for (const auto& holder : second) replaced.Add(holder);
    replaced.RemoveUnconfirmed(kNow);
    for (const auto& holder : second) {
      CHECK_FALSE(replaced.HeldBySince("key", 4, holder.daemon, since));
    }
  }
  SUBCASE("one that returns is a holder again") {
    directory.Add(first[0]);
    CHECK(directory.HeldBySince("key", 4, first[0].daemon, since));
  }
}

TEST_CASE("any daemons that come and go") {
  CHECK(rc::check("a daemon that held a record all the time is known", [] {
    const auto zones = *rc::gen::inRange<std::size_t>(1, 6);
    auto directory = DirectoryOf(*rc::gen::inRange<std::size_t>(1, 20), zones);
    const auto key = *rc::gen::arbitrary<std::string>();
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    const auto before = Names(directory.HoldersOf(key, count));
    const auto all = directory.size();
    const auto changes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 24));
    for (const auto i : changes) {
      if (directory.Contains(Peer(i, zones).daemon)) {
        directory.Remove(Peer(i, zones).daemon, kNow);
      } else if (i < all) {
        directory.Add(Peer(i, zones));
      }
    }
    // Among daemons that were there, no other counts as a holder.
    for (std::size_t i = 0; i < all; ++i) {
      const auto name = Peer(i, zones).daemon;
      RC_ASSERT(directory.HeldBySince(key, count, name, kNow) ==
                (before.contains(name) && directory.Contains(name)));
    }
  }));
  CHECK(rc::check("those that join take places, and give none away", [] {
    auto directory = DirectoryOf(*rc::gen::inRange<std::size_t>(1, 20));
    const auto key = *rc::gen::arbitrary<std::string>();
    const auto before = Names(directory.HoldersOf(key, 4));
    const auto all = directory.size();
    const auto joining = *rc::gen::inRange<std::size_t>(0, 10);
    for (std::size_t i = 0; i < joining; ++i) directory.Add(Peer(all + i));
    for (std::size_t i = 0; i < all; ++i) {
      const auto name = Peer(i).daemon;
      const bool counts = directory.HeldBySince(key, 4, name, kNow);
      RC_ASSERT(!counts || before.contains(name));
    }
  }));
}

}  // namespace firmoor
