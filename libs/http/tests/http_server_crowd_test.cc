#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

const std::string kGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string Post(std::size_t length, const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + body;
}

struct Server {
  int requests = 0;
  std::shared_ptr<BodyBudget> uploads = std::make_shared<BodyBudget>(
      BodyBudget::Limits{static_cast<std::size_t>(-1), 100'000, 1'000});
  std::vector<ConnectionCut> gave_way;
  std::unique_ptr<HttpServer> server;

  explicit Server(HttpServerLimits limits = {},
                  HttpServer::HeadCheck check = nullptr) {
    server =
        HttpServer::Builder()
            .Listen({"127.0.0.1", 0})
            .Limits(limits)
            .Uploads(uploads)
            .HeadCheck(std::move(check))
            .OnGaveWay(
                [this](ConnectionCut reason) { gave_way.push_back(reason); })
            .Handler([this](const HttpRequest& request, const auto& responder) {
              ++requests;
              responder->Send({200, {}, std::to_string(request.body.size())});
            })
            .Build();
    REQUIRE(server->Start());
  }
  std::unique_ptr<RawClient> Connect() const {
    return std::make_unique<RawClient>(server->Port());
  }
};

}  // namespace

// Guards against incomplete bodies that keep whole requests out.
TEST_CASE("a body that stops short gives way to one that arrives") {
  Server server;
  const auto stopped = server.Connect();
  stopped->Send(Post(100'000, std::string(99'999, 'x')));
  REQUIRE(WaitUntil(
      [&] { return server.uploads->shared_bytes_in_use() > 90'000; }));
  const auto caller = server.Connect();
  caller->Send(Post(80'000, std::string(80'000, 'x')));
  CHECK(caller->WaitFor("80000"));
  CHECK(stopped->WaitFor("HTTP/1.1 503"));
  CHECK(server.requests == 1);
  CHECK(server.server->CutCount(ConnectionCut::kUpload) == 1);
  CHECK(server.gave_way == std::vector{ConnectionCut::kUpload});
  CHECK(WaitUntil([&] { return server.uploads->shared_bytes_in_use() == 0; }));
}

// Guards against limits that a single request meets that is inside all others.
TEST_CASE("a body larger than what requests share is served in calm") {
  Server server;
  const auto caller = server.Connect();
  caller->Send(Post(1'000'000, std::string(1'000'000, 'x')));
  CHECK(caller->WaitFor("1000000"));
}

// Guards against crowds of connections that keep ordinary ones out.
TEST_CASE("connections that send no whole request give way to new ones") {
  HttpServerLimits limits;
  limits.connections = 3;
  Server server(limits);
  const auto served = server.Connect();
  served->Send(kGet);
  REQUIRE(served->WaitFor("200"));
  const auto silent = server.Connect();
  const auto half = server.Connect();
  half->Send("GET / HT");
  REQUIRE(WaitUntil([&] { return server.server->ConnectionCount() == 3; }));
  RunFor(300);
  const auto first = server.Connect();
  first->Send(kGet);
  CHECK(first->WaitFor("200"));
  const auto second = server.Connect();
  second->Send(kGet);
  CHECK(second->WaitFor("200"));
  CHECK(server.gave_way.size() == 2);
  // The places went to these before the one that has been served.
  CHECK(silent->WaitClosed());
  CHECK(half->WaitClosed());
  served->Send(Post(2, "hi"));
  CHECK(served->WaitFor("\r\n\r\n2"));
}

// Guards against bodies that are collected though nobody will take them.
TEST_CASE("a request is rejected by its head before its body arrives") {
  std::string seen;
  Server server({}, [&seen](const HttpRequest& head) {
    seen = head.target;
    return std::optional(HttpResponse{404, {}, "no such path"});
  });
  const auto caller = server.Connect();
  caller->Send(Post(50'000, std::string(10'000, 'x')));
  CHECK(caller->WaitFor("no such path"));
  CHECK(seen == "/");
  CHECK(server.requests == 0);
  CHECK(caller->WaitClosed());
}

// Guards against a body behind an answer that has none.
TEST_CASE("a HEAD request that is rejected by its head gets no body") {
  Server server({}, [](const HttpRequest&) {
    return std::optional(HttpResponse{404, {}, "no such path"});
  });
  const auto caller = server.Connect();
  caller->Send("HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1");
  CHECK(caller->WaitFor("\r\n\r\n"));
  CHECK(caller->WaitClosed());
  const auto answer = caller->Received();
  CHECK(answer.find("404") != std::string::npos);
  CHECK(answer.find("no such path") == std::string::npos);
}

// Guards against parsed heads that take several times the memory of their
// bytes and are not counted.
TEST_CASE("a head of many fields is counted") {
  Server server;
  std::string head = "Host: x\r\nContent-Length: 9\r\n";
  for (int i = 0; i < 490; ++i) head += "a:\r\n";
  const auto caller = server.Connect();
  const std::string post = "POST / HTTP/1.1\r\n" + head + "\r\n1";
  SUBCASE("while its body arrives") {
    caller->Send(post);
    CHECK(WaitUntil([&] {
      return server.uploads->shared_bytes_in_use() > post.size() + 40'000;
    }));
    caller->Send("23456789");
    CHECK(caller->WaitFor("\r\n\r\n9"));
  }
  SUBCASE("and waits for memory, as bodies do") {
    BodyBudget::Share all(server.uploads);
    REQUIRE(all.Grow(101'000, MonotonicNow()));
    auto exempt = std::make_unique<BodyBudget::Share>(server.uploads);
    REQUIRE(exempt->Grow(50'000, MonotonicNow()));
    caller->Send(post + "23456789");
    RunFor(300);
    CHECK(server.requests == 0);
    exempt.reset();
    CHECK(caller->WaitFor("\r\n\r\n9"));
  }
}

// Guards against heads whose many short fields take time and memory.
TEST_CASE("a head with too many fields is rejected") {
  Server server;
  const auto caller = server.Connect();
  std::string head = "GET / HTTP/1.1\r\nHost: x\r\n";
  const auto most = HttpServerLimits().header_fields;
  for (std::size_t i = 1; i < most; ++i) head += "a:\r\n";
  SUBCASE("and one with the most that it may have is not") {
    caller->Send(head + "\r\n");
    CHECK(caller->WaitFor("200"));
  }
  SUBCASE("as soon as the first one too many has arrived") {
    caller->Send(head + "a:\r\n");
    CHECK(caller->WaitFor("413"));
    CHECK(server.requests == 0);
  }
}

// Guards against requests ahead that are read before the ones that are
// answered, so that they fill the memory of the process.
TEST_CASE("requests that are sent ahead are answered one by one") {
  Server server;
  const auto caller = server.Connect();
  std::string ahead;
  constexpr int kRequests = 5'000;
  for (int i = 0; i < kRequests; ++i) ahead += kGet;
  caller->Send(ahead);
  CHECK(WaitUntil([&] {
    caller->Received();
    return server.requests == kRequests;
  }));
}

}  // namespace firmoor
