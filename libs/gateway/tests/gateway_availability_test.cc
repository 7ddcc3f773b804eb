#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "gateway/refusal.h"
#include "gateway_fixture.h"

namespace firmoor {
namespace {

/// Value of the Retry-After header in milliseconds; -1 without the header.
double RetryAfterMs(const std::string& answer) {
  constexpr std::string_view kName = "Retry-After: ";
  constexpr double kMsPerSecond = 1'000;
  const auto at = answer.find(kName);
  return at == std::string::npos
             ? -1
             : std::stod(answer.substr(at + kName.size())) * kMsPerSecond;
}

}  // namespace

TEST_CASE("an upstream declares in its responses that it is leaving") {
  GatewayFixture fixture;
  std::string head = "200 OK\r\nId: r1\r\nLeaving: 1";
  RawUpstream leaving(
      [&](auto& connection) { SendResponse(connection, head, "last"); });
  RawUpstream staying([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  fixture.AddUpstream("a", leaving);

  SUBCASE("in a success response, and gets no more requests") {
    REQUIRE(fixture.SendRequest("once")->WaitFor("last"));
    fixture.AddUpstream("b", staying);
    for (int i = 0; i < 8; ++i) {
      CHECK(fixture.SendRequest("once")->WaitFor("fine"));
    }
    CHECK(leaving.Requests() == 1);
    SUBCASE("even if the store still lists it as ready") {
      fixture.AddUpstream("a", leaving);
      for (int i = 0; i < 8; ++i) {
        CHECK(fixture.SendRequest("once")->WaitFor("fine"));
      }
      CHECK(leaving.Requests() == 1);
    }
  }
  SUBCASE("in an error response, and the request is retried elsewhere") {
    head = "500 Bad\r\nId: r1\r\nLeaving: 1";
    fixture.AddUpstream("b", staying);
    for (int i = 0; i < 8; ++i) {
      CHECK(fixture.SendRequest("idempotent")->WaitFor("fine"));
    }
    CHECK(leaving.Requests() <= 1);
  }
  SUBCASE("and callers are rejected immediately when no other is left") {
    REQUIRE(fixture.SendRequest("once")->WaitFor("last"));
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 503", 300));
    CHECK(leaving.Requests() == 1);
  }
}

TEST_CASE("an upstream declares in the head of a stream that it is leaving") {
  GatewayFixture fixture;
  RawUpstream leaving([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 1000\r\n\r\n");
    connection.socket->write(QByteArray::fromStdString(MakeEvent(1)));
  });
  RawUpstream staying([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(1));
  });
  fixture.AddUpstream("a", leaving);
  auto first = fixture.SendRequest("stream");
  REQUIRE(first->WaitFor("id: 1"));
  fixture.AddUpstream("b", staying);
  for (int i = 0; i < 8; ++i) {
    CHECK(fixture.SendRequest("stream")->WaitFor(kEnd));
  }
  CHECK(leaving.Requests() == 1);
}

// Guards against requests to upstreams that are gone (DRAIN): a removed entry
// did not stop a request whose connection was still opening.
TEST_CASE("an upstream leaves while the connection to it opens") {
  GatewayFixture fixture;
  const RawUpstream::Script answer = [](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", MakeEvent(1));
  };
  RawUpstream leaving(answer);
  AnswerReports(&leaving);
  RawUpstream staying(answer);
  std::function<void(const std::string& id)> leave;
  std::string chosen;
  // Handles a request, and then the change before the event loop goes on.
  auto server =
      HttpServer::Builder()
          .Listen({"127.0.0.1", 0})
          .Handler([&](const HttpRequest& request, const auto& responder) {
            fixture.gateway.Handle(request, responder);
            fixture.AddUpstream("b", staying);
            leave(chosen);
          })
          .Build();
  REQUIRE(server->Start());

  SUBCASE("and says so") {
    leave = [&](const std::string& id) {
      fixture.AddUpstream(id, leaving, true);
    };
  }
  SUBCASE("and its entry is removed") {
    leave = [&](const std::string& id) { fixture.gateway.RemoveUpstream(id); };
  }
  for (const std::string route : {"once", "idempotent", "stream"}) {
    fixture.gateway.RemoveUpstream("b");
    chosen = "a-" + route;
    fixture.AddUpstream(chosen, leaving);
    RawClient caller(server->Port());
    caller.Send("POST /" + route +
                "/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4"
                "\r\n\r\nbody");
    CHECK(caller.WaitFor("id: 1"));
  }
  CHECK(leaving.Requests() == 0);
  CHECK(staying.Requests() == 3);
}

TEST_CASE("an upstream rejects requests with a retry delay") {
  GatewayFixture fixture;
  RawUpstream closed([](auto& connection) {
    SendResponse(connection, "503 Full\r\nNot-Run: 1\r\nClosed-Ms: 700", "");
  });
  RawUpstream open([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  fixture.AddUpstream("a", closed);

  SUBCASE("and others get the requests until then") {
    REQUIRE(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503"));
    fixture.AddUpstream("b", open);
    for (int i = 0; i < 8; ++i) {
      CHECK(fixture.SendRequest("once")->WaitFor("fine"));
    }
    CHECK(closed.Requests() == 1);
  }
  SUBCASE(
      "and callers get the remaining delay when there is no other upstream") {
    auto first = fixture.SendRequest("once");
    REQUIRE(first->WaitFor("\r\n\r\n"));
    CHECK(RetryAfterMs(first->Received()) >= 600);
    auto second = fixture.SendRequest("once");
    REQUIRE(second->WaitFor("\r\n\r\n", 300));
    CHECK(second->Received().starts_with("HTTP/1.1 503"));
    CHECK(RetryAfterMs(second->Received()) >= 300);
    CHECK(RetryAfterMs(second->Received()) <= 900);
    CHECK(closed.Requests() == 1);
  }
  SUBCASE("and gets requests again afterwards") {
    REQUIRE(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503"));
    RunFor(750);
    REQUIRE(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503"));
    CHECK(closed.Requests() == 2);
  }
}

TEST_CASE("an upstream announces a request rate in its responses") {
  GatewayFixture fixture;
  std::string limit = "\r\nLimit: 2";
  std::string id = "r1";
  RawUpstream limited([&](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: " + id + limit, "fine");
  });
  fixture.AddUpstream("a", limited);
  fixture.gateway.SeedSharedLimits(1, {});
  REQUIRE(fixture.SendRequest("once")->WaitFor("fine"));
  CHECK(fixture.gateway.RateLimitedUpstreamCount() == 1);

  SUBCASE("until a response comes without it") {
    limit.clear();
    CHECK(WaitUntil([&] {
      fixture.SendRequest("once")->WaitFor("HTTP/1.1 ");
      return fixture.gateway.RateLimitedUpstreamCount() == 0;
    }));
  }
}

TEST_CASE("JitteredRetryDelay spreads the retries of callers") {
  constexpr Duration kEarliest{4'000};
  const auto first = JitteredRetryDelay(kEarliest, "r1");
  CHECK(first == JitteredRetryDelay(kEarliest, "r1"));
  Duration least = first;
  Duration most = first;
  for (int i = 0; i < 100; ++i) {
    const auto pause = JitteredRetryDelay(kEarliest, "r" + std::to_string(i));
    CHECK(pause >= kEarliest);
    least = std::min(least, pause);
    most = std::max(most, pause);
  }
  CHECK(most - least > Duration(800));
  CHECK(most <= kEarliest + Duration(1'000));
}

}  // namespace firmoor
