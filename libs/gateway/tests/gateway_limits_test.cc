#include <doctest/doctest.h>

#include <QTimer>
#include <cstdint>
#include <string>

#include "gateway_world.h"

namespace firmoor {

TEST_CASE("a request that an allowance does not cover") {
  World world;
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);
  world.RequireKeys(1, 1);
  const SharedLimits grant{{{"w", {1, 0}}}, 8};

  SUBCASE("waits for the coordinator that answers, and passes") {
    world.gateway.SetSharedLimits({{}, 8});
    QObject context;
    world.gateway.OnQuotaShort([&] {
      QTimer::singleShot(20, &context,
                         [&] { world.gateway.SetSharedLimits(grant); });
    });
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("fine"));
  }
  SUBCASE("is refused when the coordinator grants nothing") {
    world.gateway.SetSharedLimits({{}, 8});
    auto caller = world.Ask("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 429"));
  }
  SUBCASE("passes by an equal part when the number of daemons is known") {
    world.RequireKeys(20, 1);
    world.gateway.SeedSharedLimits(1, {});
    CHECK(WaitUntil([&] {
      const auto caller = world.Ask("once", "Key: k\r\n");
      REQUIRE(caller->WaitFor("HTTP/1.1 "));
      return caller->Received().starts_with("HTTP/1.1 200");
    }));
  }
  SUBCASE("is refused at once when the coordinator is away") {
    auto caller = world.Ask("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 429", 150));
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE("usage counts a request that an upstream began to run") {
  World world;
  world.RequireKeys(0, 0);
  const auto counted = [&] {
    std::int64_t sum = 0;
    for (const auto& [window, counts] : world.gateway.ledger().windows()) {
      for (const auto& [name, count] : counts) sum += count;
    }
    return sum;
  };
  const auto ask = [&](const std::string& route) {
    auto caller = world.Ask(route, "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    RunFor(50);
  };

  SUBCASE("also a stream that fails before its first event") {
    RawUpstream failing([](auto& connection) {
      Answer(connection, "500 Bad\r\nId: r1", "failed");
    });
    world.Add("a", failing);
    ask("stream");
    CHECK(counted() == 1);
  }
  SUBCASE("once, when it is sent to two") {
    RawUpstream failing([](auto& connection) {
      Answer(connection, "500 Bad\r\nId: r1", "failed");
    });
    world.Add("a", failing);
    world.Add("b", failing);
    ask("resumable");
    CHECK(failing.Requests() == 2);
    CHECK(counted() == 1);
  }
  SUBCASE("but none that it declared not run") {
    RawUpstream full([](auto& connection) {
      Answer(connection, "503 Full\r\nNot-Run: 1", "");
    });
    world.Add("a", full);
    ask("stream");
    CHECK(counted() == 0);
  }
}

TEST_CASE("requests that arrive while a daemon starts (power is back)") {
  World world(false);
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);

  SUBCASE("wait for the first configuration, which is on its way") {
    auto caller = world.Ask("once");
    RunFor(100);
    CHECK(caller->Received().empty());
    world.Configure();
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are refused as not run when it does not come") {
    auto caller = world.Ask("once");
    CHECK(caller->WaitFor("HTTP/1.1 503", 600));
    SUBCASE("later ones at once") {
      CHECK(world.Ask("once")->WaitFor("HTTP/1.1 503", 150));
    }
  }
  SUBCASE("are forgotten when their caller has left") {
    world.Ask("once")->Leave();
    RunFor(50);
    world.Configure();
    RunFor(100);
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE("quotas of a daemon that starts without a coordinator") {
  World world;
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);
  world.RequireKeys(20, 10);

  world.gateway.AwaitSharedLimits(MonotonicNow() + Duration(2'000));
  SUBCASE("are asked for again when the number of daemons is read") {
    auto caller = world.Ask("once", "Key: k\r\n");
    RunFor(50);
    world.gateway.SeedSharedLimits(1, {});
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are refused soon when that takes long") {
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("HTTP/1.1 429", 600));
  }
  SUBCASE("are not waited for when nothing is left to read") {
    world.gateway.SeedSharedLimits(400, {});
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("HTTP/1.1 429", 150));
  }
}

}  // namespace firmoor
