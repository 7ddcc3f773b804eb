#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture.h"

namespace firmoor {

// Guards against LOST: requests in work when the process exited got neither an
// answer nor a refusal, and no line in the log.
TEST_CASE("the requests in work end before the process exits") {
  GatewayFixture fixture(false);
  RawUpstream busy([](auto& connection) {
    if (!HasReceived(connection, "POST /stream")) return;
    StartEventStream(connection, MakeEvent(1));
  });

  SUBCASE("with an unknown outcome if an upstream has them") {
    fixture.Configure();
    fixture.AddUpstream("a", busy);
    auto caller = fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    fixture.gateway.EndRequests();
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
  }
  SUBCASE("as not run if no upstream has them") {
    auto waiting = fixture.SendRequest("once");
    REQUIRE(WaitUntil([&] { return fixture.server->ConnectionCount() == 1; }));
    RunFor(50);
    fixture.gateway.EndRequests();
    REQUIRE(waiting->WaitFor("HTTP/1.1 ", 150));
    CHECK(waiting->Received().starts_with("HTTP/1.1 503"));
  }
  SUBCASE("broken off if their answer has begun") {
    fixture.Configure();
    fixture.AddUpstream("a", busy);
    auto caller = fixture.SendRequest("stream");
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.gateway.EndRequests();
    CHECK(caller->WaitClosed(500));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
  CHECK(fixture.gateway.ActiveRequestCount() == 0);
}

// Guards against a request that is answered as not run and sent afterwards,
// since its sending was already under way.
TEST_CASE("a request that ended as not run is not sent any more") {
  GatewayFixture fixture;
  RawUpstream good(
      [](auto& connection) { SendResponse(connection, "200 OK", "fine"); });
  fixture.AddUpstream("a", good);
  // Leaves a connection on which the next request would leave at once.
  REQUIRE(fixture.SendRequest("idempotent")->WaitFor("fine"));
  fixture.server =
      HttpServer::Builder()
          .Listen({"127.0.0.1", 0})
          .Handler([&](const HttpRequest& request, const auto& responder) {
            fixture.gateway.Handle(request, responder);
            fixture.gateway.EndRequests();
          })
          .Build();
  REQUIRE(fixture.server->Start());
  auto caller = fixture.SendRequest("idempotent");
  REQUIRE(caller->WaitFor("HTTP/1.1 "));
  CHECK(caller->Received().starts_with("HTTP/1.1 503"));
  RunFor(50);
  CHECK(good.Requests() == 1);
}

// Guards against a body that a stopping daemon takes in, only to refuse the
// request, or to exit before the body is whole (incident LOST).
TEST_CASE("a request whose body still arrives while the daemon stops") {
  GatewayFixture fixture;
  const auto reject = [&](const std::string& route) {
    return fixture.gateway.RejectByHead(
        {"POST", "/" + route + "/", {{"Host", "h"}, {"Id", "r1"}}, ""});
  };
  CHECK_FALSE(reject("once"));

  SUBCASE("is refused by its head if there is no time left for it") {
    fixture.gateway.StartDrain(MonotonicNow() + Duration(100));
    const auto response = reject("once");
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK_FALSE(HeaderValue(response->headers, "Retry-After").empty());
  }
  SUBCASE("is taken if there is") {
    fixture.gateway.StartDrain(MonotonicNow() + Duration(60'000));
    CHECK_FALSE(reject("once"));
  }
  SUBCASE("is refused as before if no route has its path") {
    fixture.gateway.StartDrain(MonotonicNow() + Duration(60'000));
    const auto response = reject("unknown");
    REQUIRE(response);
    CHECK(response->status == 404);
  }
}

}  // namespace firmoor
