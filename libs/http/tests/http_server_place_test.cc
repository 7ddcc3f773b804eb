#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

const std::string kGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kHeldGet = "GET /held HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server with few places that answers all but what it holds.
struct Server {
  std::shared_ptr<BodyBudget> uploads = std::make_shared<BodyBudget>(
      BodyBudget::Limits{static_cast<std::size_t>(-1), 100'000, 8'192});
  std::vector<std::shared_ptr<HttpResponder>> held;
  int requests = 0;
  std::unique_ptr<HttpServer> server;

  explicit Server(std::size_t places) {
    HttpServerLimits limits;
    limits.connections = places;
    server =
        HttpServer::Builder()
            .Listen({"127.0.0.1", 0})
            .Limits(limits)
            .Uploads(uploads)
            .Handler([this](const HttpRequest& request, const auto& responder) {
              ++requests;
              if (request.target == "/held") return held.push_back(responder);
              responder->Send({200, {}, "done"});
            })
            .ErrorResponse([](int status) {
              return HttpResponse{status, {}, "refused"};
            })
            .Build();
    REQUIRE(server->Start());
  }
  std::unique_ptr<RawClient> Connect() const {
    return std::make_unique<RawClient>(server->Port());
  }
  std::unique_ptr<RawClient> ConnectServed() const {
    auto client = Connect();
    client->Send(kGet);
    REQUIRE(client->WaitFor("done"));
    return client;
  }
  /// How many of `callers` new ones, one after the other, get an answer.
  int AnsweredOf(int callers) const {
    int answered = 0;
    for (int i = 0; i < callers; ++i) {
      const auto caller = Connect();
      caller->Send(kGet);
      if (caller->WaitFor("done", 1'000)) ++answered;
      RunFor(250);
    }
    return answered;
  }
};

}  // namespace

// Guards against callers that are served once, keep all places and lock others
// out up to the idle time-out.
TEST_CASE("connections that have been served give way as well") {
  constexpr std::size_t kPlaces = 4;
  constexpr int kCallers = 5;
  Server server(kPlaces);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i < kPlaces; ++i) {
    crowd.push_back(server.ConnectServed());
    RunFor(20);
  }
  SUBCASE("if they are idle, the one first that is it for longest") {
    RunFor(300);
    const auto next = server.ConnectServed();
    CHECK(crowd.front()->WaitClosed());
    crowd.back()->Received();
    crowd.back()->Send(kHeldGet);
    CHECK(WaitUntil([&] { return server.held.size() == 1; }));
  }
  SUBCASE("if they are all idle") {
    RunFor(300);
    CHECK(server.AnsweredOf(kCallers) == kCallers);
  }
  SUBCASE("if they send a part of another request") {
    for (const auto& caller : crowd) caller->Send("GET / HT");
    RunFor(300);
    CHECK(server.AnsweredOf(kCallers) == kCallers);
  }
  SUBCASE("if they do not close behind a last answer") {
    server.server->CloseAfterResponses();
    for (const auto& caller : crowd) caller->Send(kGet);
    RunFor(300);
    CHECK(server.AnsweredOf(kCallers) == kCallers);
  }
}

// Guards against connections that lose their requests to new connections.
TEST_CASE("a connection whose request is handled keeps its place") {
  constexpr std::size_t kPlaces = 3;
  constexpr int kCallers = 5;
  Server server(kPlaces);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i < kPlaces; ++i) {
    crowd.push_back(server.Connect());
    crowd.back()->Send(kHeldGet);
  }
  REQUIRE(WaitUntil([&] { return server.held.size() == kPlaces; }));
  RunFor(300);
  CHECK(server.AnsweredOf(kCallers) == 0);
  CHECK(server.server->CutCount(ConnectionCut::kGaveWay) == 0);
  for (const auto& responder : server.held) responder->Send({200, {}, "late"});
  for (const auto& caller : crowd) CHECK(caller->WaitFor("late"));
}

// Guards against requests that are lost since the process stood still while
// they arrived.
TEST_CASE("a request that has arrived unnoticed keeps its place") {
  Server server(1);
  const auto first = server.Connect();
  REQUIRE(WaitUntil([&] { return server.server->ConnectionCount() == 1; }));
  SUBCASE("the first one of its connection") {}
  SUBCASE("a later one") {
    first->Send(kGet);
    REQUIRE(first->WaitFor("done"));
    first->Received();
  }
  const int before = server.requests;
  RunFor(250);
  first->Send(kHeldGet);
  const auto second = server.Connect();
  second->Send(kGet);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(WaitUntil([&] { return server.held.size() == 1; }));
  CHECK(server.requests == before + 1);
  CHECK(server.server->CutCount(ConnectionCut::kGaveWay) == 0);
}

// Guards against uploads that are cut without an answer though the server
// itself does not read them.
TEST_CASE("an upload that waits for memory gives way by a 503") {
  Server server(2);
  BodyBudget::Share all(server.uploads);
  REQUIRE(all.Grow(108'192, MonotonicNow()));
  BodyBudget::Share exempt(server.uploads);
  REQUIRE(exempt.Grow(50'000, MonotonicNow()));
  const auto upload = server.Connect();
  upload->Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" +
               std::string(40'000, 'x'));
  RunFor(400);
  const auto idle = server.Connect();
  RunFor(250);
  const auto next = server.Connect();
  next->Send(kGet);
  CHECK(next->WaitFor("done"));
  CHECK(upload->WaitFor("HTTP/1.1 503"));
  CHECK(server.server->CutCount(ConnectionCut::kGaveWay) == 1);
}

}  // namespace firmoor
