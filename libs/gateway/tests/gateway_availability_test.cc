#include <doctest/doctest.h>

#include <string>

#include "gateway/refusal.h"
#include "gateway_world.h"

namespace firmoor {
namespace {

/// The time told to a caller that was refused, in milliseconds; -1: none.
double RetryAfterMs(const std::string& answer) {
  constexpr std::string_view kName = "Retry-After: ";
  constexpr double kMsPerSecond = 1'000;
  const auto at = answer.find(kName);
  return at == std::string::npos
             ? -1
             : std::stod(answer.substr(at + kName.size())) * kMsPerSecond;
}

}  // namespace

TEST_CASE("an upstream says in its answers that it leaves") {
  World world;
  std::string head = "200 OK\r\nId: r1\r\nLeaving: 1";
  RawUpstream leaving(
      [&](auto& connection) { Answer(connection, head, "last"); });
  RawUpstream staying(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", leaving);

  SUBCASE("in a success, and gets no more work") {
    REQUIRE(world.Ask("once")->WaitFor("last"));
    world.Add("b", staying);
    for (int i = 0; i < 8; ++i) CHECK(world.Ask("once")->WaitFor("fine"));
    CHECK(leaving.Requests() == 1);
    SUBCASE("although the store goes on listing it as ready") {
      world.Add("a", leaving);
      for (int i = 0; i < 8; ++i) CHECK(world.Ask("once")->WaitFor("fine"));
      CHECK(leaving.Requests() == 1);
    }
  }
  SUBCASE("in a failure, and the request is repeated elsewhere") {
    head = "500 Bad\r\nId: r1\r\nLeaving: 1";
    world.Add("b", staying);
    for (int i = 0; i < 8; ++i) CHECK(world.Ask("idempotent")->WaitFor("fine"));
    CHECK(leaving.Requests() <= 1);
  }
  SUBCASE("and when no other is left, callers are told at once") {
    REQUIRE(world.Ask("once")->WaitFor("last"));
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 503", 300));
    CHECK(leaving.Requests() == 1);
  }
}

TEST_CASE("an upstream says in a stream's head that it leaves") {
  World world;
  RawUpstream leaving([](auto& connection) {
    connection.socket->write(
        "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 1000\r\n\r\n");
    connection.socket->write(QByteArray::fromStdString(Event(1)));
  });
  RawUpstream staying(
      [](auto& connection) { Answer(connection, "200 OK", Event(1)); });
  world.Add("a", leaving);
  auto first = world.Ask("stream");
  REQUIRE(first->WaitFor("id: 1"));
  world.Add("b", staying);
  for (int i = 0; i < 8; ++i) CHECK(world.Ask("stream")->WaitFor("0\r\n\r\n"));
  CHECK(leaving.Requests() == 1);
}

TEST_CASE("an upstream turns requests away for some time") {
  World world;
  RawUpstream closed([](auto& connection) {
    Answer(connection, "503 Full\r\nNot-Run: 1\r\nClosed-Ms: 700", "");
  });
  RawUpstream open(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", closed);

  SUBCASE("and others take the work meanwhile") {
    REQUIRE(world.Ask("once")->WaitFor("HTTP/1.1 503"));
    world.Add("b", open);
    for (int i = 0; i < 8; ++i) CHECK(world.Ask("once")->WaitFor("fine"));
    CHECK(closed.Requests() == 1);
  }
  SUBCASE("and without others callers are told at once when it opens") {
    auto first = world.Ask("once");
    REQUIRE(first->WaitFor("\r\n\r\n"));
    CHECK(RetryAfterMs(first->Received()) >= 600);
    auto second = world.Ask("once");
    REQUIRE(second->WaitFor("\r\n\r\n", 300));
    CHECK(second->Received().starts_with("HTTP/1.1 503"));
    CHECK(RetryAfterMs(second->Received()) >= 300);
    CHECK(RetryAfterMs(second->Received()) <= 900);
    CHECK(closed.Requests() == 1);
  }
  SUBCASE("and gets requests again after it") {
    REQUIRE(world.Ask("once")->WaitFor("HTTP/1.1 503"));
    RunFor(750);
    REQUIRE(world.Ask("once")->WaitFor("HTTP/1.1 503"));
    CHECK(closed.Requests() == 2);
  }
}

TEST_CASE("callers that are told to come back return at different moments") {
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
