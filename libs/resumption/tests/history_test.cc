#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "resumption/stream_records.h"
#include "resumption/version_history.h"

namespace firmoor {
namespace {

using Versions = std::set<std::string>;

TimePoint At(std::int64_t ms) { return TimePoint(Duration(1'000'000 + ms)); }

StreamRecord Record(const std::string& key, const std::string& version = "one",
                    std::int64_t lifetime_ms = 1'000) {
  return {key, "service", version, Duration(lifetime_ms)};
}

}  // namespace

TEST_CASE("a daemon remembers which versions were listed") {
  VersionHistory history;
  CHECK_FALSE(history.Covers(At(0)));
  CHECK(history.ListedAt(At(0)).empty());
  history.Update({"one"}, At(1'000));

  SUBCASE("since it began to observe") {
    CHECK(history.Covers(At(1'000)));
    CHECK_FALSE(history.Covers(At(999)));
    CHECK(history.ListedAt(At(999)).empty());
    CHECK(history.ListedSince(At(0)) == Versions{"one"});
  }
  SUBCASE("through a release") {
    history.Update({"one", "two"}, At(2'000));
    history.Update({"two"}, At(3'000));
    CHECK(history.ListedAt(At(1'999)) == Versions{"one"});
    CHECK(history.ListedAt(At(2'000)) == Versions{"one", "two"});
    CHECK(history.ListedAt(At(3'000)) == Versions{"one", "two"});
    CHECK(history.ListedAt(At(3'001)) == Versions{"two"});
    CHECK(history.ListedSince(At(3'000)) == Versions{"one", "two"});
    CHECK(history.ListedSince(At(3'001)) == Versions{"two"});

    SUBCASE("that is taken back") {
      history.Update({"one", "two"}, At(4'000));
      CHECK(history.ListedAt(At(2'500)) == Versions{"one", "two"});
      CHECK(history.ListedAt(At(3'500)) == Versions{"two"});
      CHECK(history.ListedAt(At(4'500)) == Versions{"one", "two"});
      CHECK(history.ListedSince(At(3'500)) == Versions{"one", "two"});
    }
    SUBCASE("well beyond the time of any stream, and no longer") {
      history.Update({"two"}, At(303'000));
      CHECK(history.ListedAt(At(2'500)) == Versions{"one", "two"});
      history.Update({"two"}, At(303'001));
      CHECK(history.ListedAt(At(2'500)) == Versions{"two"});
    }
  }
  SUBCASE("also when none is listed for a while") {
    history.Update({}, At(2'000));
    CHECK(history.ListedAt(At(2'500)).empty());
    CHECK(history.ListedSince(At(1'500)) == Versions{"one"});
    CHECK(history.Covers(At(1'500)));
  }
  SUBCASE("any sequence of lists") {
    CHECK(rc::check("is known at each moment", [] {
      VersionHistory random;
      std::vector<Versions> lists;
      for (const int bits :
           *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
        Versions listed;
        if ((bits & 1) != 0) listed.insert("a");
        if ((bits & 2) != 0) listed.insert("b");
        if ((bits & 4) != 0) listed.insert("c");
        lists.push_back(listed);
      }
      for (std::size_t i = 0; i < lists.size(); ++i) {
        random.Update(lists[i], At(static_cast<std::int64_t>(i) * 10));
      }
      Versions since;
      for (std::size_t i = lists.size(); i-- > 0;) {
        const auto at = At(static_cast<std::int64_t>(i) * 10 + 5);
        since.insert(lists[i].begin(), lists[i].end());
        RC_ASSERT(random.ListedAt(at) == lists[i]);
        RC_ASSERT(random.ListedSince(at) == since);
      }
    }));
  }
}

TEST_CASE("the key of a stream") {
  SUBCASE("differs between workspaces, which cannot guess each other's") {
    CHECK(StreamKey("acme", "id") != StreamKey("other", "id"));
    CHECK(StreamKey("acme", "id") == StreamKey("acme", "id"));
    CHECK(StreamKey("acme", "id").find("acme") == std::string::npos);
  }
  SUBCASE("differs when the border between both parts moves") {
    CHECK(StreamKey("ab", "c") != StreamKey("a", "bc"));
    CHECK(StreamKey("", "ab") != StreamKey("ab", ""));
    CHECK(StreamKey("1", "1:x") != StreamKey("1:1", "x"));
  }
  SUBCASE("is that of one pair only") {
    CHECK(rc::check(
        "of any two",
        [](const std::string& workspace, const std::string& id,
           const std::string& other_workspace, const std::string& other_id) {
          const bool same = workspace == other_workspace && id == other_id;
          RC_ASSERT(same == (StreamKey(workspace, id) ==
                             StreamKey(other_workspace, other_id)));
        }));
  }
}

TEST_CASE("a daemon holds records of streams") {
  StreamRecords records(3);
  records.Put(Record("k"), At(0));

  SUBCASE("for their lifetimes") {
    CHECK(records.Find("k", At(999)) ==
          StreamRecords::Found{"service", "one", false, Duration(999)});
    CHECK_FALSE(records.Find("k", At(1'000)));
    CHECK_FALSE(records.Find("other", At(0)));
    records.Put(Record("other"), At(1'000));
    CHECK(records.size() == 1);
  }
  SUBCASE("as long as the longer of two says") {
    records.Put(Record("k", "one", 2'000), At(500));
    CHECK(records.Find("k", At(2'499)));
    CHECK_FALSE(records.Find("k", At(2'500)));
    records.Put(Record("k", "one", 1), At(600));
    CHECK(records.Find("k", At(2'499)));
  }
  SUBCASE("that contradict each other, and tells so") {
    records.Put(Record("k", "two"), At(1));
    CHECK(records.Find("k", At(2))->is_ambiguous);
    records.Put(Record("k"), At(3));
    CHECK(records.Find("k", At(4))->is_ambiguous);
    CHECK(records.Remaining(At(4)).empty());
  }
  SUBCASE("of two services, and tells so") {
    records.Put({"k", "another", "one", Duration(1'000)}, At(1));
    CHECK(records.Find("k", At(2))->is_ambiguous);
  }
  SUBCASE("with the rest of their lifetimes for others") {
    CHECK(records.Remaining(At(400)) == std::vector{Record("k", "one", 600)});
    CHECK(records.Remaining(At(1'000)).empty());
  }
  SUBCASE("up to a number, dropping those that expire first") {
    records.Put(Record("a", "one", 3'000), At(0));
    records.Put(Record("b", "one", 3'000), At(0));
    CHECK(records.dropped() == 0);
    records.Put(Record("c", "one", 3'000), At(0));
    CHECK(records.size() == 3);
    CHECK(records.dropped() == 1);
    CHECK_FALSE(records.Find("k", At(1)));
    CHECK(records.Find("c", At(1)));
  }
}

TEST_CASE("a daemon knows which records it has told nobody of") {
  StreamRecords records(2);
  records.PutUnsent(Record("k"), At(0));

  SUBCASE("until they are taken") {
    CHECK(records.TakeUnsent("service", At(400)) ==
          std::vector{Record("k", "one", 600)});
    CHECK(records.TakeUnsent("service", At(400)).empty());
    CHECK(records.Find("k", At(400)));
  }
  SUBCASE("of each service") {
    CHECK(records.TakeUnsent("another", At(1)).empty());
    CHECK(records.TakeUnsent("", At(1)).size() == 1);
  }
  SUBCASE("but not of those that came from others, expired or were dropped") {
    records.Put(Record("other", "one", 5'000), At(0));
    CHECK(records.TakeUnsent("", At(1'000)).empty());
    records.PutUnsent(Record("a", "one", 3'000), At(1'000));
    records.Put(Record("b", "one", 4'000), At(1'000));
    CHECK(records.dropped() == 1);
    CHECK(records.TakeUnsent("", At(1'001)).empty());
  }
}

TEST_CASE("any records, at any time") {
  CHECK(rc::check("are found until they expire, and no more are kept", [] {
    constexpr std::size_t kCapacity = 5;
    StreamRecords records(kCapacity);
    std::int64_t now = 0;
    const auto count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
      now += *rc::gen::inRange(0, 200);
      const auto key = std::to_string(*rc::gen::inRange(0, 8));
      const auto lifetime = *rc::gen::inRange(1, 1'000);
      if (*rc::gen::arbitrary<bool>()) {
        records.PutUnsent(Record(key, "one", lifetime), At(now));
      } else {
        records.Put(Record(key, "one", lifetime), At(now));
      }
      RC_ASSERT(records.size() <= kCapacity);
      for (const auto& left : records.Remaining(At(now))) {
        RC_ASSERT(left.lifetime > Duration(0));
        RC_ASSERT(records.Find(left.key, At(now)).has_value());
        RC_ASSERT(!records.Find(left.key, At(now) + left.lifetime).has_value());
      }
    }
    for (const auto& taken : records.TakeUnsent("", At(now))) {
      RC_ASSERT(records.Find(taken.key, At(now)).has_value());
    }
  }));
}

}  // namespace firmoor
