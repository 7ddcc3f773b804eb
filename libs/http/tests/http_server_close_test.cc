#include <doctest/doctest.h>

#include <QTimer>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "stubborn_peer.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr int kRepetitions = 10;
constexpr std::size_t kMegabyte = 1'024 * 1'024;
constexpr std::string_view kLastGet =
    "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
constexpr std::string_view kPost = "POST /a HTTP/1.1\r\nHost: x\r\n";

struct Fixture {
  std::vector<std::shared_ptr<HttpResponder>> responders;
  std::unique_ptr<HttpServer> server;

  explicit Fixture(HttpServerLimits limits = {}) {
    server = HttpServer::Builder()
                 .Listen({"127.0.0.1", 0})
                 .Limits(limits)
                 .Handler([this](const HttpRequest&, auto responder) {
                   responders.push_back(std::move(responder));
                 })
                 .ErrorResponse([](int status) {
                   return HttpResponse{status, {}, "refused, not run"};
                 })
                 .Build();
    REQUIRE(server->Start());
  }
  bool WaitRequests(std::size_t count) {
    return WaitUntil([&] { return responders.size() >= count; });
  }
  bool WaitNoConnection(int timeout_ms) {
    return WaitUntil([&] { return server->ConnectionCount() == 0; },
                     timeout_ms);
  }
};

std::string LargeBody(std::size_t bytes = 8 * kMegabyte) {
  return std::string(bytes, 'x');
}

/// Number of `kRepetitions` connections on which `talk` returns true, so that
/// a close that destroys the response only sometimes is seen.
template <typename Talk>
int CountComplete(std::uint16_t port, Talk talk) {
  int complete = 0;
  for (int i = 0; i < kRepetitions; ++i) {
    RawClient client(port);
    if (talk(client)) ++complete;
  }
  return complete;
}

bool GetsRefusal(RawClient& client, std::string_view status) {
  if (!client.WaitClosed()) return false;
  return client.Received().find(status) != std::string::npos &&
         client.Received().ends_with("refused, not run");
}

}  // namespace

// Guards against refusals and responses that are destroyed by a reset, because
// the connection was closed while its caller still sent.
TEST_CASE("callers that still send get the whole last response") {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  Fixture fixture(limits);
  const auto port = fixture.server->Port();

  SUBCASE("a body of a length that is too large") {
    const std::string request = std::string(kPost) + "Content-Length: " +
                                std::to_string(8 * kMegabyte) + "\r\n\r\n" +
                                LargeBody();
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(request);
            return GetsRefusal(client, "HTTP/1.1 413");
          }) == kRepetitions);
  }
  SUBCASE("a chunked body that becomes too large") {
    const std::string request = std::string(kPost) +
                                "Transfer-Encoding: chunked\r\n\r\n800000\r\n" +
                                LargeBody();
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(request);
            return GetsRefusal(client, "HTTP/1.1 413");
          }) == kRepetitions);
  }
  SUBCASE("invalid framing") {
    const std::string request = std::string(kPost) +
                                "Transfer-Encoding: chunked\r\n\r\nzz\r\n" +
                                LargeBody();
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(request);
            return GetsRefusal(client, "HTTP/1.1 400");
          }) == kRepetitions);
  }
  SUBCASE("a body that takes too long") {
    limits.body_bytes = 64 * kMegabyte;
    limits.request_timeout = Duration(1);
    fixture.server->SetLimits(limits);
    const std::string request = std::string(kPost) + "Content-Length: " +
                                std::to_string(limits.body_bytes) + "\r\n\r\n" +
                                LargeBody();
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(request);
            return GetsRefusal(client, "HTTP/1.1 408");
          }) == kRepetitions);
  }
  SUBCASE("a pipelined request behind the last one") {
    const std::string requests = std::string(kLastGet) + std::string(kPost) +
                                 "Content-Length: 900000\r\n\r\n" +
                                 LargeBody(900'000);
    const std::string body = LargeBody();
    std::size_t count = 0;
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(requests);
            if (!fixture.WaitRequests(++count)) return false;
            fixture.responders.back()->Send({200, {}, body});
            return client.WaitClosed() && client.Received().ends_with(body);
          }) == kRepetitions);
    CHECK(fixture.responders.size() == kRepetitions);
    CHECK(fixture.server->CutCount(ConnectionCut::kPipelined) == kRepetitions);
  }
  SUBCASE("a pipelined request that crosses the response") {
    const std::string body = LargeBody();
    std::size_t count = 0;
    CHECK(CountComplete(port, [&](RawClient& client) {
            client.Send(kLastGet);
            if (!fixture.WaitRequests(++count)) return false;
            fixture.responders.back()->Send({200, {}, body});
            if (!client.WaitFor("HTTP/1.1 200")) return false;
            client.Send(kLastGet);
            return client.WaitClosed() && client.Received().ends_with(body);
          }) == kRepetitions);
    CHECK(fixture.responders.size() == kRepetitions);
  }
  CHECK(fixture.WaitNoConnection(500));
}

// Guards against responses that are cut off while their caller still reads,
// because the connection, which is kept, counted as idle.
TEST_CASE("callers that read slowly get a whole response") {
  HttpServerLimits limits;
  limits.idle_timeout = Duration(300);
  Fixture fixture(limits);
  StubbornPeer caller(fixture.server->Port());
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.WaitRequests(1));
  const std::string body = LargeBody(32 * kMegabyte);
  fixture.responders[0]->Send({200, {}, body});
  std::string received;
  const auto reads_whole = [&](int pause_ms) {
    while (received.size() < body.size() && !caller.HasEnded()) {
      received += caller.Receive();
      RunFor(pause_ms);
    }
    return received.ends_with(body);
  };
  const auto count = [&](ConnectionCut reason) {
    return fixture.server->CutCount(reason);
  };

  SUBCASE("for longer than the idle time-out") {
    CHECK(reads_whole(15));
    CHECK(fixture.WaitNoConnection(1'000));
    CHECK(count(ConnectionCut::kIdle) == 1);
  }
  SUBCASE("when the server stops to listen") {
    fixture.server->StopListening();
    SUBCASE("and closes the connection behind it") {
      CHECK(reads_whole(1));
      CHECK(fixture.WaitNoConnection(1'000));
      CHECK(count(ConnectionCut::kStop) == 1);
    }
    SUBCASE("and the one to a request that crossed the stop") {
      caller.Send(kLastGet);
      CHECK(reads_whole(1));
      REQUIRE(fixture.WaitRequests(2));
      fixture.responders[1]->Send({200, {}, "second"});
      CHECK(WaitUntil([&] {
        received += caller.Receive();
        return received.ends_with("second");
      }));
      CHECK(count(ConnectionCut::kStop) == 0);
    }
  }
  SUBCASE("but not if they stop to read") {
    CHECK(fixture.WaitNoConnection(1'000));
    CHECK(count(ConnectionCut::kIdle) == 1);
  }
}

// Guards against a caller that fills the memory of the process with responses
// to requests that it sends one behind another and whose responses it does not
// read.
TEST_CASE("requests that are sent ahead wait until responses are taken") {
  constexpr std::size_t kRequests = 60;
  HttpServerLimits limits;
  limits.idle_timeout = Duration(400);
  Fixture fixture(limits);
  const auto body = LargeBody(kMegabyte);
  StubbornPeer caller(fixture.server->Port());
  std::string requests;
  for (std::size_t i = 1; i < kRequests; ++i) {
    requests += "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  caller.Send(requests + std::string(kLastGet));
  std::size_t answered = 0;
  const auto answer_all = [&] {
    for (; answered < fixture.responders.size(); ++answered) {
      fixture.responders[answered]->Send({200, {}, body});
    }
  };
  CHECK_FALSE(WaitUntil(
      [&] {
        answer_all();
        return fixture.responders.size() == kRequests;
      },
      200));
  // What the kernel's buffers of both ends hold.
  CHECK(answered < 20);

  SUBCASE("and are answered once the caller reads") {
    std::size_t received = 0;
    CHECK(WaitUntil([&] {
      answer_all();
      received += caller.Receive().size();
      return caller.HasEnded();
    }));
    CHECK(answered == kRequests);
    CHECK(received > kRequests * body.size());
    CHECK(fixture.server->CutCount(ConnectionCut::kStalled) == 0);
  }
  SUBCASE("or lost with the connection of a caller that takes nothing") {
    CHECK(fixture.WaitNoConnection(3'000));
    CHECK(fixture.server->CutCount(ConnectionCut::kStalled) == 1);
  }
}

// Guards against connections that outlast a stop by the idle time-out, since
// the head of their last response could not say that they close.
TEST_CASE("a stream that began before the server stopped ends its connection") {
  Fixture fixture;
  RawClient client(fixture.server->Port());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.WaitRequests(1));
  fixture.responders[0]->StartStream(200, {});
  fixture.responders[0]->Write("first");
  REQUIRE(client.WaitFor("first"));
  fixture.server->StopListening();
  fixture.responders[0]->FinishStream();
  CHECK(client.WaitClosed(1'000));
  CHECK(client.Received().ends_with("0\r\n\r\n"));
  CHECK(fixture.server->CutCount(ConnectionCut::kStop) == 1);
}

TEST_CASE("a server that stops to accept serves who has connected before") {
  Fixture fixture;
  RawClient earlier(fixture.server->Port());
  REQUIRE(WaitUntil([&] { return fixture.server->ConnectionCount() == 1; }));
  const auto port = fixture.server->Port();
  // The server's event loop does not run in between.
  RawClient last(port);

  SUBCASE("and sent a request that was not read") {
    last.Send(kLastGet);
    fixture.server->StopAccepting();
    REQUIRE(fixture.WaitRequests(1));
    fixture.responders[0]->Send({200, {}, "whole"});
    CHECK(last.WaitFor("whole"));
    CHECK(last.WaitClosed(1'000));
  }
  SUBCASE("and sends a request later") {
    fixture.server->StopAccepting();
    RunFor(50);
    CHECK(fixture.server->ConnectionCount() == 2);
    last.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    earlier.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.WaitRequests(2));
    for (const auto& responder : fixture.responders) {
      responder->Send({200, {}, "whole"});
    }
    for (auto* client : {&earlier, &last}) {
      CHECK(client->WaitFor("Connection: close\r\n\r\nwhole"));
      CHECK(client->WaitClosed(1'000));
    }
  }
  SUBCASE("and nobody else") {
    fixture.server->StopAccepting();
    RawClient late(port);
    CHECK(late.WaitClosed(100));
    CHECK(fixture.server->ConnectionCount() == 2);
  }
}

// Guards against requests that had arrived when the server closed connections
// that it took for idle: they were reset without an answer.
TEST_CASE("a request that was not read yet survives the stop of the server") {
  Fixture fixture;
  RawClient client(fixture.server->Port());

  SUBCASE("on a connection that was idle") {
    client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.WaitRequests(1));
    fixture.responders[0]->Send({200, {}, "first"});
    REQUIRE(client.WaitFor("first"));
    fixture.responders.clear();
  }
  SUBCASE("on a connection that was not accepted yet") {}

  // The server's event loop does not run in between.
  client.Send(kLastGet);
  fixture.server->StopListening();
  REQUIRE(fixture.WaitRequests(1));
  fixture.responders[0]->Send({200, {}, "whole"});
  CHECK(client.WaitFor("whole"));
}

// Guards against a read of freed memory: the next read of a connection was
// queued when its server ended.
TEST_CASE("a server may end between two requests of a connection") {
  Fixture fixture;
  RawClient client(fixture.server->Port());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(kLastGet));
  REQUIRE(fixture.WaitRequests(1));
  // Within the event loop, so that what is deleted later goes.
  QTimer::singleShot(0, [&fixture] {
    fixture.responders[0]->Send({200, {}, "first"});
    fixture.server.reset();
  });
  CHECK(client.WaitClosed(1'000));
  CHECK(fixture.responders.size() == 1);
}

/// Sends `request`, has its response started by `start`, and checks how it
/// ends.
template <typename Start>
void CheckEndsWithConnection(std::string_view request, Start start) {
  std::shared_ptr<HttpResponder> responder;
  const auto server =
      HttpServer::Builder()
          .Listen({"127.0.0.1", 0})
          .Handler([&](const HttpRequest&, const auto& of_request) {
            responder = of_request;
          })
          .Build();
  REQUIRE(server->Start());
  StubbornPeer caller(server->Port());
  caller.Send(request);
  REQUIRE(WaitUntil([&] { return responder != nullptr; }));
  start(*responder);
  responder->Write("part");
  std::string received;
  REQUIRE(WaitUntil([&] {
    received += caller.Receive();
    return received.ends_with("part");
  }));
  CHECK(received.find("chunked") == std::string::npos);
  SUBCASE("is closed in order when it is complete") {
    responder->FinishStream();
    CHECK(WaitUntil([&] { return caller.HasEnded(); }));
  }
  SUBCASE("is reset when it is cut") {
    responder->Abort();
    CHECK(WaitUntil([&] { return caller.WasReset(); }));
  }
}

// Guards against a response that seems complete, since it ends with its
// connection and that one was closed in order when it was cut.
TEST_CASE("a response that ends with its connection") {
  CheckEndsWithConnection(
      "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
      [](auto& responder) { responder.StartStreamUntilClose(200, {}); });
}

// Guards against the same where the caller knows no chunks.
TEST_CASE("a stream to a caller of HTTP/1.0 that ends with its connection") {
  CheckEndsWithConnection(
      "GET / HTTP/1.0\r\nHost: x\r\n\r\n",
      [](auto& responder) { responder.StartStream(200, {}); });
}

}  // namespace firmoor
