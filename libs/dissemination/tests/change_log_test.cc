#include "dissemination/change_log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace firmoor {
namespace {

EncodedChange Object(const std::string& name, const char* bytes) {
  return {name, bytes, false};
}

EncodedChange Removal(const std::string& name) { return {name, {}, true}; }

using Changes = std::vector<EncodedChange>;

/// What an asker holds after it has taken `changes`.
void Apply(const Changes& changes, std::map<std::string, QByteArray>* held) {
  for (const auto& change : changes) {
    if (change.removed) {
      held->erase(change.name);
    } else {
      (*held)[change.name] = change.bytes;
    }
  }
}

}  // namespace

TEST_CASE("a log of changes") {
  ChangeLog log(2);
  CHECK_FALSE(log.ChangesSince(0));
  log.ApplySnapshot(10, {Object("a", "1"), Object("b", "1")});

  SUBCASE("tells an asker that has all that there is nothing") {
    CHECK(log.ChangesSince(10) == Changes{});
    CHECK_FALSE(log.HasChangesSince(10));
  }
  SUBCASE("cannot tell what was before its first list") {
    CHECK_FALSE(log.ChangesSince(9));
  }
  SUBCASE("tells only the newest state of an object") {
    log.ApplyChanges(12, {Object("a", "2")});
    log.ApplyChanges(15, {Object("a", "3"), Object("c", "1")});
    CHECK(log.HasChangesSince(12));
    CHECK(log.ChangesSince(10) == Changes{Object("a", "3"), Object("c", "1")});
    CHECK(log.ChangesSince(15) == Changes{});
  }
  SUBCASE("takes nothing that is older than what it has") {
    log.ApplyChanges(12, {Object("a", "2")});
    log.ApplyChanges(11, {Object("a", "old")});
    CHECK(log.ChangesSince(10) == Changes{Object("a", "2")});
  }
  SUBCASE("finds what changed between two lists") {
    log.ApplySnapshot(20, {Object("a", "1"), Object("c", "1")});
    CHECK(log.ChangesSince(10) == Changes{Object("c", "1"), Removal("b")});
  }
  SUBCASE("forgets the oldest removals and then reaches back less far") {
    log.ApplyChanges(12, {Removal("a")});
    log.ApplyChanges(14, {Removal("b")});
    CHECK(log.ChangesSince(10) == Changes{Removal("a"), Removal("b")});
    log.ApplyChanges(16, {Removal("x")});
    CHECK_FALSE(log.ChangesSince(10));
    CHECK(log.ChangesSince(12) == Changes{Removal("b"), Removal("x")});
  }
}

TEST_CASE("an asker that reads from several logs ends with the same content") {
  rc::check([] {
    ChangeLog first(100);
    ChangeLog second(100);
    std::map<std::string, QByteArray> truth;
    std::map<std::string, QByteArray> held;
    first.ApplySnapshot(1, {});
    second.ApplySnapshot(1, {});
    std::int64_t available = 1;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    std::int64_t revision = 1;
    Changes behind;
    for (const int step : steps) {
      const auto name = std::string(1, static_cast<char>('a' + step % 5));
      const auto change = step % 3 == 0
                              ? Removal(name)
                              : Object(name, std::to_string(step).c_str());
      Apply({change}, &truth);
      first.ApplyChanges(++revision, {change});
      // The second reader takes several changes at once.
      behind.push_back(change);
      if (step % 4 == 0) {
        second.ApplyChanges(revision, behind);
        behind.clear();
      }
      auto& asked = step % 2 == 0 ? first : second;
      const auto told = asked.ChangesSince(available);
      RC_ASSERT(told.has_value());
      Apply(*told, &held);
      available = std::max(available, asked.revision());
    }
    Apply(*first.ChangesSince(available), &held);
    RC_ASSERT(held == truth);
  });
}

}  // namespace firmoor
