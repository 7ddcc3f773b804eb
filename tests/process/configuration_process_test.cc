#include <doctest/doctest.h>

#include <QJsonDocument>

#include "cluster.h"

namespace firmoor {
namespace {

constexpr int kInForceMs = 10'000;

QJsonObject Concurrency(int value) {
  const QJsonObject desk{{"upstream_concurrency", value}};
  return {{"services", QJsonObject{{"desk", desk}}}};
}

ClusterShape ThreeZones() {
  ClusterShape shape;
  shape.zones = {{"east", "home", 2, 0, 1},
                 {"west", "home", 2, 0, 0},
                 {"north", "far", 1, 0, 0}};
  shape.relay = true;
  return shape;
}

bool InForceEverywhere(Cluster* cluster, std::int64_t version,
                       const std::vector<std::size_t>& daemons) {
  return WaitUntil(
      [&] {
        for (const auto i : daemons) {
          if (cluster->VersionAt(i) != version) return false;
        }
        return true;
      },
      kInForceMs);
}

std::int64_t VersionOf(const HttpResponse& answer) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(answer.body))
      .object()
      .value("version")
      .toInteger();
}

}  // namespace

TEST_CASE("patches of operators") {
  Cluster cluster(ThreeZones());
  REQUIRE(cluster.WaitReady());
  const std::vector<std::size_t> all = {0, 1, 2, 3, 4};

  SUBCASE("are in force in every zone within 10 s") {
    REQUIRE(cluster.Patch(1, 1, Concurrency(5), "a").status == 200);
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
  SUBCASE("race: exactly one wins and the others are told the version") {
    for (int round = 0; round < 10; ++round) {
      const auto base = 1 + round;
      std::vector<std::unique_ptr<Exchange>> operators;
      for (std::size_t i = 0; i < 5; ++i) {
        const QJsonObject patch{
            {"id", QString("r%1-%2").arg(round).arg(i)},
            {"base_version", base},
            {"merge", Concurrency(static_cast<int>(i) + 1)}};
        operators.push_back(std::make_unique<Exchange>(
            cluster.daemon(i).operators,
            HttpRequest{"POST",
                        "/config/patch",
                        {},
                        QJsonDocument(patch).toJson().toStdString()}));
      }
      int won = 0;
      int refused = 0;
      for (auto& exchange : operators) {
        REQUIRE(exchange->Wait());
        const auto& answer = exchange->result().answer;
        won += answer.status == 200 ? 1 : 0;
        refused += answer.status == 409 &&
                           HeaderValue(answer.headers, "Firmoor-Version") ==
                               std::to_string(base + 1)
                       ? 1
                       : 0;
      }
      CHECK(won == 1);
      CHECK(refused == 4);
    }
    CHECK(InForceEverywhere(&cluster, 11, all));
  }
  SUBCASE("whose answer is lost are resolved by their id") {
    cluster.ControlPlatform({{"lose_answers", 1}});
    const auto first = cluster.Patch(0, 1, Concurrency(7), "lost");
    CHECK(first.status == 200);
    CHECK(VersionOf(first) == 2);
    const auto again = cluster.Patch(4, 1, Concurrency(7), "lost");
    CHECK(VersionOf(again) == 2);
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
  SUBCASE("that are invalid change nothing") {
    const auto bad = cluster.Patch(0, 1, Concurrency(0), "bad");
    CHECK(bad.status == 422);
    CHECK(cluster.Patch(0, 1, Concurrency(3), "good").status == 200);
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
  SUBCASE("during an outage of the store are refused, not half done") {
    cluster.ControlPlatform({{"outage_ms", 8'000}});
    const auto answer = cluster.Patch(0, 1, Concurrency(3), "away");
    CHECK(answer.status == 503);
    CHECK(cluster.Ask(0, cluster.Lookup()).answer.status == 200);
    RunFor(4'000);
    CHECK(cluster.Patch(0, 1, Concurrency(3), "away").status == 200);
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
}

TEST_CASE("a daemon that knows no upstream yet is not ready") {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 0, 1}};
  shape.settings["times.vm_list_period_ms"] = "1000";
  Cluster cluster(shape);
  REQUIRE(WaitUntil([&] { return !cluster.Status(0).isEmpty(); }, 20'000));
  REQUIRE(cluster.WaitUpstreams());
  REQUIRE(cluster.PatchFirst());
  RunFor(300);
  const auto is_ready = [&] {
    return cluster.Status(0).value("ready").toBool();
  };
  CHECK_FALSE(is_ready());
  cluster.PublishVms();
  REQUIRE(WaitUntil(is_ready, 5'000));
  CHECK(cluster.Ask(0, cluster.Lookup()).answer.status == 200);
}

TEST_CASE("the version in force never goes back") {
  Cluster cluster(ThreeZones());
  REQUIRE(cluster.WaitReady());
  const std::vector<std::size_t> all = {0, 1, 2, 3, 4};

  SUBCASE("a zone cut from the platform follows through another zone") {
    cluster.CutPlatform("west");
    REQUIRE(cluster.Patch(0, 1, Concurrency(4), "a").status == 200);
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
  SUBCASE("a zone cut from everything catches up when it heals") {
    cluster.CutPlatform("north");
    cluster.CutZones("north", "east");
    cluster.CutZones("north", "west");
    RunFor(2'500);
    REQUIRE(cluster.Patch(0, 1, Concurrency(4), "a").status == 200);
    REQUIRE(InForceEverywhere(&cluster, 2, {0, 1, 2, 3}));
    CHECK(cluster.VersionAt(4) == 1);
    cluster.Heal();
    CHECK(InForceEverywhere(&cluster, 2, all));
  }
  SUBCASE("a restarted daemon does not take an old version from the store") {
    for (int i = 1; i <= 3; ++i) {
      const auto id = "p" + std::to_string(i);
      REQUIRE(cluster.Patch(0, i, Concurrency(i), id).status == 200);
    }
    REQUIRE(InForceEverywhere(&cluster, 4, all));
    cluster.Kill(&cluster.daemon(1));
    cluster.ControlPlatform({{"stale_reads", 1'000}, {"watch_lag_ms", 400}});
    cluster.Start(&cluster.daemon(1));
    std::int64_t highest = 0;
    bool went_back = false;
    bool served_old = false;
    WaitUntil(
        [&] {
          const auto status = cluster.Status(1);
          const std::int64_t version = status.value("version").toInteger(-1);
          went_back = went_back || (version >= 0 && version < highest);
          highest = std::max(highest, version);
          served_old =
              served_old || (status.value("ready").toBool() && version < 4);
          return false;
        },
        4'000);
    CHECK(highest == 4);
    CHECK_FALSE(went_back);
    CHECK_FALSE(served_old);
  }
  SUBCASE("many patches fold into a snapshot and a new daemon has them all") {
    cluster.Kill(&cluster.daemon(3));
    for (int i = 1; i <= 90; ++i) {
      const auto id = "p" + std::to_string(i);
      REQUIRE(cluster.Patch(0, i, Concurrency(i), id).status == 200);
    }
    REQUIRE(InForceEverywhere(&cluster, 91, {0, 1, 2, 4}));
    cluster.Start(&cluster.daemon(3));
    CHECK(InForceEverywhere(&cluster, 91, all));
    const auto config = cluster.GetJson(cluster.daemon(3).operators, "/config");
    CHECK(config == cluster.GetJson(cluster.daemon(0).operators, "/config"));
  }
}

}  // namespace firmoor
