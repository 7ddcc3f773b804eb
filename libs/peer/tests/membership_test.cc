#include "peer/membership.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

namespace firmoor {
namespace {

/// A fleet in virtual time whose messages can be dropped.
struct Fleet {
  static constexpr Duration kStep{100};
  TimePoint now{Duration(1'000'000)};
  std::vector<std::unique_ptr<Membership>> nodes;
  std::set<std::size_t> down;
  std::set<std::pair<std::size_t, std::size_t>> partitions;

  explicit Fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Member self{Name(i), "zone", "region", {"127.0.0.1", 1}, {}, 1, {}, {}};
      nodes.push_back(std::make_unique<Membership>(
          self, MembershipTiming{}, static_cast<std::uint64_t>(i)));
    }
    for (std::size_t i = 1; i < count; ++i) Join(i);
  }
  static std::string Name(std::size_t i) { return fmt::format("d{:03}", i); }
  std::size_t Index(const std::string& name) const {
    return static_cast<std::size_t>(std::stoi(name.substr(1)));
  }
  void Join(std::size_t i) {
    nodes[0]->Merge(nodes[i]->FullState(), now);
    nodes[i]->Merge(nodes[0]->FullState(), now);
  }
  bool Reaches(std::size_t a, std::size_t b) const {
    return !down.contains(a) && !down.contains(b) &&
           !partitions.contains({a, b}) && !partitions.contains({b, a});
  }
  bool Exchange(std::size_t a, std::size_t b) {
    if (!Reaches(a, b)) return false;
    nodes[b]->Merge(nodes[a]->MakeGossip(), now);
    nodes[a]->Merge(nodes[b]->MakeGossip(), now);
    return true;
  }
  void Step() {
    now += kStep;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (down.contains(i)) continue;
      for (const auto& probe : nodes[i]->Tick(now)) {
        const auto target = Index(probe.target);
        const bool acked = probe.via.empty()
                               ? Exchange(i, target)
                               : Reaches(i, Index(probe.via)) &&
                                     Exchange(Index(probe.via), target);
        if (acked) nodes[i]->OnAck(probe.target, now);
      }
    }
  }
  void Run(int seconds) {
    for (int i = 0; i < seconds * 10; ++i) Step();
  }
  bool IsLive(std::size_t a, std::size_t b) const {
    const auto* member = nodes[a]->Find(Name(b));
    return member != nullptr && member->state != MemberState::kDead &&
           member->state != MemberState::kLeft;
  }
};

}  // namespace

TEST_CASE("membership of a fleet") {
  Fleet fleet(8);
  fleet.Run(10);
  SUBCASE("includes all daemons") {
    for (std::size_t i = 0; i < 8; ++i) {
      CHECK(fleet.nodes[i]->Live().size() == 7);
    }
  }
  SUBCASE("detects a dead daemon within seconds") {
    fleet.down.insert(3);
    fleet.Run(15);
    for (std::size_t i = 0; i < 8; ++i) {
      if (i != 3) CHECK_FALSE(fleet.IsLive(i, 3));
    }
  }
  SUBCASE("keeps a daemon that a single member cannot reach") {
    fleet.partitions.insert({2, 5});
    fleet.Run(60);
    CHECK(fleet.IsLive(2, 5));
    CHECK(fleet.IsLive(5, 2));
  }
  SUBCASE("readmits a frozen daemon, which declares no other daemon dead") {
    fleet.down.insert(4);
    fleet.Run(20);
    CHECK_FALSE(fleet.IsLive(0, 4));
    fleet.down.clear();
    fleet.Run(1);
    CHECK(fleet.nodes[4]->Live().size() == 7);
    fleet.Run(20);
    for (std::size_t i = 0; i < 8; ++i) {
      CHECK(fleet.nodes[i]->Live().size() == 7);
    }
  }
  SUBCASE("removes a leaving daemon without a suspicion period") {
    fleet.nodes[6]->Leave();
    for (std::size_t i = 0; i < 3; ++i) fleet.Exchange(6, i);
    fleet.down.insert(6);
    fleet.Run(4);
    for (std::size_t i = 0; i < 6; ++i) CHECK_FALSE(fleet.IsLive(i, 6));
  }
  SUBCASE("readmits a daemon that restarts under the same name") {
    fleet.down.insert(1);
    fleet.Run(15);
    Member self{
        Fleet::Name(1), "zone", "region", {"127.0.0.1", 2}, {}, 0, {}, {}};
    fleet.nodes[1] = std::make_unique<Membership>(self, MembershipTiming{}, 9);
    fleet.down.clear();
    fleet.Join(1);
    fleet.Run(10);
    for (std::size_t i = 0; i < 8; ++i) {
      if (i != 1) CHECK(fleet.IsLive(i, 1));
    }
  }
}

TEST_CASE("a daemon that was frozen while it suspected another") {
  Member self{"a", "zone", "region", {"127.0.0.1", 1}, {}, 1, {}, {}};
  Member other{"b", "zone", "region", {"127.0.0.1", 2}, {}, 1, {}, {}};
  Membership membership(self, MembershipTiming{}, 1);
  TimePoint now{Duration(1'000'000)};
  membership.Merge({"b", {other}}, now);
  for (int i = 0; i < 25; ++i) {
    now += Duration(100);
    membership.Tick(now);
  }
  REQUIRE(membership.Find("b")->state == MemberState::kSuspect);
  now += Duration(20'000);
  membership.Tick(now);
  SUBCASE("does not declare it dead on resuming") {
    CHECK(membership.Find("b")->state == MemberState::kSuspect);
    membership.OnAck("b", now);
    CHECK(membership.Find("b")->state == MemberState::kAlive);
  }
  SUBCASE("declares it dead when it still does not respond") {
    for (int i = 0; i < 50; ++i) {
      now += Duration(100);
      membership.Tick(now);
    }
    CHECK(membership.Find("b")->state == MemberState::kDead);
  }
}

TEST_CASE("gossip survives its encoding") {
  Fleet fleet(5);
  const auto gossip = fleet.nodes[0]->FullState();
  const auto decoded = Capture([&] { return Gossip::Decode(gossip.Encode()); });
  CHECK(std::get<Gossip>(decoded) == gossip);
  const auto bad = Capture([] { return Gossip::Decode("junk"); });
  CHECK(std::get<Error>(bad).code == ResultCode::kBadMessage);
}

TEST_CASE("random crashes and partitions") {
  const bool holds = rc::check("all daemons agree after recovery", [] {
    const auto count = static_cast<std::size_t>(*rc::gen::inRange(3, 12));
    Fleet fleet(count);
    fleet.Run(5);
    for (int round = 0; round < 6; ++round) {
      const auto a = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(count)));
      const auto b = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(count)));
      if (*rc::gen::arbitrary<bool>()) {
        if (fleet.down.size() + 2 < count) fleet.down.insert(a);
      } else if (a != b) {
        fleet.partitions.insert({a, b});
      }
      fleet.Run(*rc::gen::inRange(1, 8));
    }
    fleet.down.clear();
    fleet.partitions.clear();
    // The daemon contacts its seeds again while members are missing.
    for (std::size_t i = 1; i < count; ++i) fleet.Join(i);
    fleet.Run(30);
    for (std::size_t i = 0; i < count; ++i) {
      RC_ASSERT(fleet.nodes[i]->Live().size() == count - 1);
    }
  });
  CHECK(holds);
}

}  // namespace firmoor
