#include <doctest/doctest.h>

#include <QJsonArray>

#include "cluster.h"

namespace firmoor {
namespace {

ClusterShape Placed(bool fenced) {
  ClusterShape shape;
  shape.zones = {{"east", "home", 1, 1, 1}, {"west", "home", 1, 1, 1}};
  const QJsonObject assist{
      {"fenced_orders", fenced}, {"min_replicas", 6}, {"max_replicas", 20}};
  const QJsonObject desk{
      {"fenced_orders", fenced}, {"min_replicas", 3}, {"max_replicas", 6}};
  shape.configuration = {
      {"services", QJsonObject{{"assist", assist}, {"desk", desk}}}};
  return shape;
}

/// Index of the daemon that holds the lease, or -1.
int HolderOf(Cluster* cluster) {
  for (std::size_t i = 0; i < cluster->daemon_count(); ++i) {
    const auto placement = cluster->Status(i).value("placement").toObject();
    if (placement.value("holder").toBool()) return static_cast<int>(i);
  }
  return -1;
}

int TotalDesired(Cluster* cluster, const char* service) {
  const auto cloud = cluster->GetJson(cluster->platform(), "/cloud");
  const auto counts =
      cloud.value("desired").toObject().value(QLatin1String(service));
  int total = 0;
  for (const auto& value : counts.toArray()) {
    total += value.toObject().value("count").toInt();
  }
  return total;
}

}  // namespace

TEST_CASE("a deployment gets the VMs that its services need") {
  Cluster cluster(Placed(true));
  REQUIRE(cluster.WaitReady());
  CHECK(
      WaitUntil([&] { return TotalDesired(&cluster, "assist") == 6; }, 15'000));
  CHECK(WaitUntil([&] { return TotalDesired(&cluster, "desk") == 3; }));
}

TEST_CASE("a zone that refuses starts is left out") {
  Cluster cluster(Placed(true));
  cluster.ControlPlatform({{"refuse_starts", "east"}});
  REQUIRE(cluster.WaitReady());
  CHECK(WaitUntil(
      [&] {
        const auto cloud = cluster.GetJson(cluster.platform(), "/cloud");
        const auto counts = cloud.value("desired").toObject().value("assist");
        int east = 0;
        for (const auto& value : counts.toArray()) {
          const auto count = value.toObject();
          if (count.value("availability_zone") == "east") {
            east += count.value("count").toInt();
          }
        }
        return TotalDesired(&cluster, "assist") == 6 && east == 0;
      },
      20'000));
}

TEST_CASE("a holder that is frozen past its lease and woken") {
  bool fenced = true;
  SUBCASE("towards a cloud API that checks the number") { fenced = true; }
  SUBCASE("towards one that ignores it") { fenced = false; }
  Cluster cluster(Placed(fenced));
  REQUIRE(cluster.WaitReady());
  cluster.ControlPlatform({{"check_fencing", fenced}});
  int holder = -1;
  REQUIRE(WaitUntil(
      [&] {
        holder = HolderOf(&cluster);
        return holder >= 0 && TotalDesired(&cluster, "desk") == 3;
      },
      20'000));
  cluster.Freeze(&cluster.daemon(static_cast<std::size_t>(holder)));
  const auto other = static_cast<std::size_t>(1 - holder);
  REQUIRE(WaitUntil(
      [&] {
        return cluster.Status(other)
            .value("placement")
            .toObject()
            .value("holder")
            .toBool();
      },
      20'000));
  // Until the new holder has ordered.
  const auto fencing = [&] {
    return cluster.GetJson(cluster.platform(), "/cloud")
        .value("fencing")
        .toInteger();
  };
  REQUIRE(WaitUntil([&] { return fencing() >= 2; }, 20'000));
  cluster.Thaw(&cluster.daemon(static_cast<std::size_t>(holder)));
  RunFor(4'000);
  const auto cloud = cluster.GetJson(cluster.platform(), "/cloud");
  CHECK(cloud.value("old_orders").toInteger() == 0);
  CHECK(HolderOf(&cluster) == int(other));
}

}  // namespace firmoor
