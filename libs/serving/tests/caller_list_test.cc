#include "details/caller_list.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "details/remote_follower.h"
#include "serving/sse_parser.h"
#include "support/raw_socket.h"
#include "support/slow_client.h"

namespace firmoor::details {
namespace {

constexpr std::string_view kEnd = "0\r\n\r\n";

/// A server that keeps the responders of its requests.
struct Callers {
  std::vector<std::shared_ptr<HttpResponder>> responders;
  std::unique_ptr<HttpServer> server =
      HttpServer::Builder()
          .Listen({"127.0.0.1", 0})
          .Handler([this](const HttpRequest&, auto responder) {
            responders.push_back(std::move(responder));
          })
          .Build();

  Callers() { REQUIRE(server->Start()); }
  std::unique_ptr<RawClient> Connect() {
    const auto before = responders.size();
    auto caller = std::make_unique<RawClient>(server->Port());
    caller->Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(WaitUntil([&] { return responders.size() > before; }));
    return caller;
  }
};

}  // namespace

// Guards against a caller that holds its place at an engine for as long as it
// likes, and against a stream that is not read on once its caller has read.
TEST_CASE("a caller that takes its tokens slowly") {
  Callers callers;
  ModelRequest model;
  CallerFlowTotals flows;
  CallerList list("r1", &model, &flows);
  SlowClient caller({"127.0.0.1", callers.server->Port()});
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(WaitUntil([&] { return callers.responders.size() == 1; }));
  list.Add(callers.responders[0], true, 0);
  // More than the kernel's buffers hold.
  const std::vector<std::string> tokens(16, std::string(1'000'000, 'x'));
  const auto now = MonotonicNow();
  CHECK_FALSE(list.IsPaused(now));
  list.SendTokens(tokens);
  RunFor(100);
  REQUIRE(list.IsPaused(now));

  SUBCASE("gets further ones once it has read") {
    REQUIRE(WaitUntil([&] {
      caller.Read(1'000'000);
      return !list.IsPaused(now);
    }));
    list.CutStalled(now + CallerFlow::kMaxStall);
    CHECK(callers.responders[0]->IsOpen());
    CHECK(flows.stalled == 0);
  }
  SUBCASE("is cut off when it takes nothing for long") {
    list.CutStalled(now + CallerFlow::kMaxStall - Duration(1));
    CHECK(callers.responders[0]->IsOpen());
    list.CutStalled(now + CallerFlow::kMaxStall);
    CHECK_FALSE(callers.responders[0]->IsOpen());
    CHECK(flows.stalled == 1);
  }
}

// Guards against LOST: callers of a started stream got neither its rest nor an
// error when the daemon that was to take the request over did not confirm it.
TEST_CASE("the callers of a request whose hand-over is not confirmed") {
  Callers callers;
  ModelRequest model;
  CallerFlowTotals flows;
  CallerList list("r1", &model, &flows);
  const auto caller = callers.Connect();
  list.Add(callers.responders[0], true, 0);

  SUBCASE("get an error with an unknown outcome") {
    list.EndUnconfirmed();
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().find("peer-unreachable") != std::string::npos);
  }
  SUBCASE("get an error event if their stream has begun") {
    list.SendTokens({"one"});
    REQUIRE(caller->WaitFor("id: 1"));
    list.EndUnconfirmed();
    REQUIRE(caller->WaitFor(kEnd, 1'000));
    CHECK(caller->Received().find("event: error") != std::string::npos);
    CHECK(caller->Received().find("peer-unreachable") != std::string::npos);
    CHECK(caller->Received().find(kStreamEnd) == std::string::npos);
  }
  CHECK(list.empty());
}

// Guards against a stream that is broken off since the daemon that runs its
// request was silent for a second or two.
TEST_CASE("a caller that follows a request of another daemon") {
  Callers callers;
  std::optional<TimePoint> silent_until;
  bool found = true;
  std::optional<Duration> time_left;
  const RemoteFollower::Query query{"r1", "w", true, 0};
  DispatcherEnvironment environment;
  environment.find_remote_request = [&](const std::string&, std::size_t from,
                                        const auto& done) {
    RequestProgress progress;
    progress.found = found && (!silent_until || MonotonicNow() > *silent_until);
    progress.unanswered = found && !progress.found;
    progress.workspace = query.workspace;
    progress.done = silent_until.has_value();
    progress.answer.status = 200;
    progress.time_left = time_left;
    if (from == 0) progress.tokens = {"one"};
    done(progress);
  };
  const auto caller = callers.Connect();
  const auto follow = [&] {
    std::make_shared<RemoteFollower>(query, callers.responders[0], &environment)
        ->Poll();
    REQUIRE(caller->WaitFor("id: 1"));
  };

  // Guards against LOST: the stream was broken off after some missed polls
  // though its request went on.
  SUBCASE("gets its rest however long that one is silent in its time") {
    time_left = Duration(20'000);
    follow();
    silent_until = MonotonicNow() + Duration(4'500);
    REQUIRE(caller->WaitFor(kEnd, 6'000));
    CHECK(caller->Received().find(kStreamEnd) != std::string::npos);
  }
  SUBCASE("sees the stream break off some time after the request's deadline") {
    time_left = Duration(500);
    follow();
    silent_until = MonotonicNow() + Duration(60'000);
    CHECK_FALSE(caller->WaitClosed(2'500));
    CHECK(caller->WaitClosed(3'000));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
  SUBCASE("gets its rest when that one has been silent for two seconds") {
    follow();
    silent_until = MonotonicNow() + Duration(2'000);
    REQUIRE(caller->WaitFor(kEnd, 3'000));
    CHECK(caller->Received().find(kStreamEnd) != std::string::npos);
  }
  SUBCASE("sees the stream break off when nobody knows the request") {
    follow();
    found = false;
    CHECK(caller->WaitClosed(5'000));
    CHECK(caller->Received().find(kEnd) == std::string::npos);
  }
}

}  // namespace firmoor::details
