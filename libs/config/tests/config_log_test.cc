#include "config/config_log.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <QJsonDocument>

namespace firmoor {
namespace {

QJsonObject Json(const std::string& text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

ConfigPatch MakePatch(std::int64_t base, const std::string& id,
                      int concurrency = 4) {
  return {id, base,
          Json(fmt::format(R"({{"services":{{"a":{{"kind":"plain",
               "upstream_concurrency":{}}}}}}})",
                           concurrency))};
}

Configuration Build(const ConfigHead& head, const QJsonObject& snapshot) {
  const auto outcome =
      Capture([&] { return BuildConfiguration(head, snapshot); });
  return std::get<Configuration>(outcome);
}

}  // namespace

TEST_CASE("a merge patch adds, replaces and removes keys") {
  CHECK(MergePatch(Json(R"({"a":{"b":1,"c":2},"d":3})"),
                   Json(R"({"a":{"b":null,"e":4},"d":5})")) ==
        Json(R"({"a":{"c":2,"e":4},"d":5})"));
}

TEST_CASE("two operators patch the same version") {
  ConfigHead head;
  const auto first = EvaluatePatch(head, {}, MakePatch(0, "first"));
  REQUIRE(first.kind == PatchDecision::Kind::kAccept);
  head = first.head;
  const auto current = Build(head, {});
  SUBCASE("the second one is rejected with the current version") {
    const auto second = EvaluatePatch(head, current, MakePatch(0, "second"));
    CHECK(second.kind == PatchDecision::Kind::kRefuse);
    CHECK(second.error.code == ResultCode::kStaleVersion);
    CHECK(second.version == 1);
  }
  SUBCASE("the first one retries after a lost answer") {
    const auto again = EvaluatePatch(head, current, MakePatch(0, "first"));
    CHECK(again.kind == PatchDecision::Kind::kAlreadyApplied);
    CHECK(again.version == 1);
  }
  SUBCASE("an invalid patch changes nothing") {
    const auto bad =
        EvaluatePatch(head, current, {"bad", 1, Json(R"({"nonsense":1})")});
    CHECK(bad.error.code == ResultCode::kInvalidPatch);
    CHECK(bad.head == ConfigHead{});
  }
}

TEST_CASE("compacting a full head preserves the configuration") {
  ConfigHead head;
  QJsonObject snapshot;
  for (int i = 0; i < static_cast<int>(kPatchesPerSnapshot); ++i) {
    const auto decision = EvaluatePatch(head, Build(head, snapshot),
                                        MakePatch(i, std::to_string(i), i + 1));
    head = decision.head;
  }
  const auto before = Build(head, snapshot);
  const auto compaction = CompactHead(head, snapshot);
  REQUIRE(compaction.needed);
  CHECK(Build(compaction.head, compaction.snapshot) == before);
  CHECK(compaction.head.patches.size() < head.patches.size());
  const auto decoded =
      Capture([&] { return ConfigHead::Decode(compaction.head.Encode()); });
  CHECK(std::get<ConfigHead>(decoded) == compaction.head);
}

TEST_CASE("followers that receive versions in any order") {
  const bool holds =
      rc::check("reach the newest version received and never go back", [] {
        ConfigHead head;
        std::vector<Configuration> history = {Configuration()};
        const int versions = *rc::gen::inRange(1, 20);
        for (int i = 0; i < versions; ++i) {
          head = EvaluatePatch(head, history.back(),
                               MakePatch(i, std::to_string(i), i + 1))
                     .head;
          history.push_back(Build(head, {}));
        }
        std::vector<ConfigFollower> followers(4);
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
          auto& follower = followers[*rc::gen::inRange(0, 4)];
          const auto before = follower.current().version();
          if (*rc::gen::arbitrary<bool>()) {
            const auto& stale = history[*rc::gen::inRange(0, versions + 1)];
            follower.AdoptIfNewer(stale, {});
          } else {
            const auto& peer = followers[*rc::gen::inRange(0, 4)];
            const auto claimed = *rc::gen::inRange(0, versions + 1);
            const auto bytes = peer.UpdateSince(claimed).Encode();
            const auto update =
                Capture([&] { return ConfigFollower::Update::Decode(bytes); });
            follower.ApplyUpdate(std::get<ConfigFollower::Update>(update));
          }
          const auto& now = follower.current();
          RC_ASSERT(now.version() >= before);
          RC_ASSERT(now == history[now.version()]);
        }
        for (auto& follower : followers) {
          follower.AdoptIfNewer(history.back(), head.patches);
          for (auto& other : followers) {
            other.ApplyUpdate(follower.UpdateSince(other.current().version()));
            RC_ASSERT(other.current() == history.back());
          }
        }
      });
  CHECK(holds);
}

}  // namespace firmoor
