#include <doctest/doctest.h>

#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

/// An upstream "a" that announces a rate limit, which the gateway has learned
/// from one response.
struct LimitedFixture : GatewayFixture {
  std::string head = "200 OK\r\nId: r1\r\nLimit: 2";
  RawUpstream limited{
      [this](auto& connection) { SendResponse(connection, head, "limited"); }};
  RawUpstream other{[](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "other");
  }};

  LimitedFixture() {
    AddUpstream("a", limited);
    REQUIRE(SendRequest("once")->WaitFor("limited"));
    REQUIRE(gateway.RateLimitedUpstreamCount() == 1);
  }
  /// Applies a coordinator's reply with `permits` for the upstream.
  void Grant(std::int64_t permits, Duration next_in) {
    const auto now = MonotonicNow();
    gateway.ReportUpstreamLimits();
    UpstreamLimitReply reply{1, 1, true, {}};
    reply.upstreams["a"] = {0, 2, Duration(0), permits, next_in, 2};
    gateway.ApplyUpstreamLimits(reply, now);
    gateway.SetSharedLimits({{}, 8});
  }
};

double RetryAfterS(const std::string& answer) {
  constexpr std::string_view kName = "Retry-After: ";
  const auto at = answer.find(kName);
  return at == std::string::npos ? -1
                                 : std::stod(answer.substr(at + kName.size()));
}

}  // namespace

TEST_CASE("a request whose best upstream has no permit") {
  LimitedFixture fixture;
  fixture.Grant(0, Duration(5'000));

  SUBCASE("goes to another upstream") {
    fixture.AddUpstream("b", fixture.other);
    for (int i = 0; i < 6; ++i) {
      CHECK(fixture.SendRequest("once")->WaitFor("other"));
    }
    CHECK(fixture.limited.Requests() == 1);
    CHECK(fixture.gateway.UpstreamLimitMetrics().find(
              "firmoor_rate_limit_rejected_total 0") != std::string::npos);
  }
  SUBCASE("is rejected at once when there is no other") {
    auto caller = fixture.SendRequest("once");
    REQUIRE(caller->WaitFor("\r\n\r\n", 100));
    CHECK(caller->Received().starts_with("HTTP/1.1 503"));
    CHECK(caller->WaitFor("upstream-rate-limit"));
    CHECK(caller->WaitFor("not-run"));
    CHECK(fixture.limited.Requests() == 1);
    SUBCASE("and callers return at the rate that the upstream accepts") {
      CHECK(RetryAfterS(caller->Received()) >= 4.5);
      double last = 0;
      for (int i = 0; i < 4; ++i) {
        auto next = fixture.SendRequest("once");
        REQUIRE(next->WaitFor("\r\n\r\n"));
        CHECK(RetryAfterS(next->Received()) > last);
        last = RetryAfterS(next->Received());
      }
      // Four callers after the first one, at two per second.
      CHECK(last >= 6.5);
    }
  }
  SUBCASE("is not retried there either") {
    RawUpstream failing([](auto& connection) {
      SendResponse(connection, "500 Bad\r\nId: r1", "bad");
    });
    fixture.AddUpstream("b", failing);
    auto caller = fixture.SendRequest("idempotent");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(failing.Requests() == 1);
    CHECK(fixture.limited.Requests() == 1);
  }
}

TEST_CASE("a request waits for a permit that the coordinator may grant") {
  LimitedFixture fixture;
  fixture.Grant(0, Duration(0));
  QObject context;
  int asked = 0;

  SUBCASE("and is sent with it") {
    fixture.gateway.OnGrantNeeded([&] {
      ++asked;
      QTimer::singleShot(20, &context,
                         [&] { fixture.Grant(1, Duration(500)); });
    });
    CHECK(fixture.SendRequest("once")->WaitFor("limited"));
    CHECK(asked == 1);
  }
  SUBCASE("and is rejected if it is granted none") {
    fixture.gateway.OnGrantNeeded([&] {
      QTimer::singleShot(20, &context,
                         [&] { fixture.Grant(0, Duration(500)); });
    });
    CHECK(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503", 200));
    CHECK(fixture.limited.Requests() == 1);
  }
  SUBCASE("and is rejected soon if there is no reply") {
    CHECK(fixture.SendRequest("once")->WaitFor("HTTP/1.1 503", 500));
    CHECK(fixture.limited.Requests() == 1);
  }
}

TEST_CASE("requests that wait for a quota when the limit comes need a permit") {
  GatewayFixture fixture;
  RawUpstream limited([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1\r\nLimit: 2", "limited");
  });
  fixture.AddUpstream("a", limited);
  fixture.RequireKeys(1, 1);
  const SharedLimits grant{{{"w", {10, 0}}}, 8};
  fixture.gateway.SetSharedLimits({{}, 8});
  constexpr int kCallers = 4;
  std::vector<std::unique_ptr<RawClient>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(fixture.SendRequest("once", "Key: k\r\n"));
  }
  RunFor(50);
  UpstreamLimitReply reply{1, 1, true, {}};
  reply.upstreams["a"] = {0, 2, Duration(0), 1, Duration(5'000), 2};
  fixture.gateway.ApplyUpstreamLimits(reply, MonotonicNow());
  fixture.gateway.SetSharedLimits(grant);
  for (const auto& caller : callers) CHECK(caller->WaitFor("HTTP/1.1 "));
  CHECK(limited.Requests() <= 1);
}

TEST_CASE("moving a stream needs permits of both upstreams") {
  GatewayFixture fixture;
  int moves = 0;
  RawUpstream source([&](auto& connection) {
    if (HasReceived(connection, "/move")) {
      ++moves;
      return SendResponse(connection, "200 OK", "h1");
    }
    if (HasReceived(connection, "/report")) {
      return SendResponse(connection, "200 OK", "1500");
    }
    connection.socket->write(QByteArray::fromStdString(
        "HTTP/1.1 200 OK\r\nLimit: 2\r\nContent-Length: 1000\r\n\r\n" +
        MakeEvent(1)));
    connection.socket->flush();
  });
  RawUpstream target([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(2));
  });
  fixture.AddUpstream("a", source);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 1"));
  fixture.AddUpstream("b", target);
  UpstreamLimitReply reply{1, 1, true, {}};
  reply.upstreams["a"] = {0, 2, Duration(0), 0, Duration(5'000), 2};
  fixture.gateway.ApplyUpstreamLimits(reply, MonotonicNow());
  fixture.gateway.SetSharedLimits({{}, 8});
  fixture.AddUpstream("a", source, true);
  RunFor(1'200);
  CHECK(moves == 0);
  CHECK(source.Requests() == 1);
}

}  // namespace firmoor
