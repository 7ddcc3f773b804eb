#include <doctest/doctest.h>

#include <QTimer>
#include <cstdint>
#include <string>

#include "gateway_fixture.h"

namespace firmoor {

TEST_CASE("a request that exceeds the quota allowance") {
  GatewayFixture fixture;
  RawUpstream good([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  fixture.AddUpstream("a", good);
  fixture.RequireKeys(1, 1);
  const SharedLimits grant{{{"w", {1, 0}}}, 8};

  SUBCASE("waits for a grant of an available coordinator and is served") {
    fixture.gateway.SetSharedLimits({{}, 8});
    QObject context;
    fixture.gateway.OnGrantNeeded([&] {
      QTimer::singleShot(20, &context,
                         [&] { fixture.gateway.SetSharedLimits(grant); });
    });
    CHECK(fixture.SendRequest("once", "Key: k\r\n")->WaitFor("fine"));
  }
  SUBCASE("is rejected when the coordinator grants nothing") {
    fixture.gateway.SetSharedLimits({{}, 8});
    auto caller = fixture.SendRequest("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 429"));
  }
  SUBCASE("is served from an equal share when the number of daemons is known") {
    fixture.RequireKeys(20, 1);
    fixture.gateway.SeedSharedLimits(1, {});
    CHECK(WaitUntil([&] {
      const auto caller = fixture.SendRequest("once", "Key: k\r\n");
      REQUIRE(caller->WaitFor("HTTP/1.1 "));
      return caller->Received().starts_with("HTTP/1.1 200");
    }));
  }
  SUBCASE("is rejected immediately without a coordinator") {
    auto caller = fixture.SendRequest("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 429", 150));
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE("usage counts a request that an upstream started to run") {
  GatewayFixture fixture;
  fixture.RequireKeys(0, 0);
  const auto ask = [&](const std::string& route) {
    auto caller = fixture.SendRequest(route, "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    RunFor(50);
  };

  SUBCASE("also a stream that fails before its first event") {
    RawUpstream failing([](auto& connection) {
      SendResponse(connection, "500 Bad\r\nId: r1", "failed");
    });
    fixture.AddUpstream("a", failing);
    ask("stream");
    CHECK(fixture.UsageCount() == 1);
  }
  SUBCASE("once, when it is sent to two upstreams") {
    RawUpstream failing([](auto& connection) {
      SendResponse(connection, "500 Bad\r\nId: r1", "failed");
    });
    fixture.AddUpstream("a", failing);
    fixture.AddUpstream("b", failing);
    ask("resumable");
    CHECK(failing.Requests() == 2);
    CHECK(fixture.UsageCount() == 1);
  }
  SUBCASE("but not one that the upstream declared not run") {
    RawUpstream full([](auto& connection) {
      SendResponse(connection, "503 Full\r\nNot-Run: 1", "");
    });
    fixture.AddUpstream("a", full);
    ask("stream");
    CHECK(fixture.UsageCount() == 0);
  }
}

TEST_CASE("requests that arrive before the first configuration") {
  GatewayFixture fixture(false);
  RawUpstream good([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  fixture.AddUpstream("a", good);

  SUBCASE("wait for it") {
    auto caller = fixture.SendRequest("once");
    RunFor(100);
    CHECK(caller->Received().empty());
    fixture.Configure();
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are rejected as not run when it does not arrive") {
    auto caller = fixture.SendRequest("once");
    CHECK(caller->WaitFor("HTTP/1.1 503", 600));
    SUBCASE("and later ones are rejected immediately") {
      CHECK(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503", 150));
    }
  }
  SUBCASE("are dropped when their caller disconnects") {
    fixture.SendRequest("once")->Leave();
    RunFor(50);
    fixture.Configure();
    RunFor(100);
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE(
    "requests that exceed their quota before the number of daemons is known") {
  GatewayFixture fixture;
  RawUpstream good([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  fixture.AddUpstream("a", good);
  fixture.RequireKeys(20, 10);

  fixture.gateway.AwaitSharedLimits(MonotonicNow() + Duration(2'000));
  SUBCASE("are checked again when it is read") {
    auto caller = fixture.SendRequest("once", "Key: k\r\n");
    RunFor(50);
    fixture.gateway.SeedSharedLimits(1, {});
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are rejected when reading it takes long") {
    CHECK(fixture.SendRequest("once", "Key: k\r\n")
              ->WaitFor("HTTP/1.1 429", 600));
  }
  SUBCASE("are rejected immediately after it was read") {
    fixture.gateway.SeedSharedLimits(400, {});
    CHECK(fixture.SendRequest("once", "Key: k\r\n")
              ->WaitFor("HTTP/1.1 429", 150));
  }
}

}  // namespace firmoor
