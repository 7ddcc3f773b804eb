#include "http/http_server.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QEvent>
#include <QTimer>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_socket.h"

namespace firmoor {
namespace {

struct Fixture {
  std::vector<HttpRequest> requests;
  std::vector<std::shared_ptr<HttpResponder>> responders;
  std::unique_ptr<HttpServer> server;

  explicit Fixture(HttpServerLimits limits = {}) {
    server = HttpServer::Builder()
                 .Listen({"127.0.0.1", 0})
                 .Limits(limits)
                 .Handler([this](HttpRequest request, auto responder) {
                   requests.push_back(std::move(request));
                   responders.push_back(std::move(responder));
                 })
                 .Build();
    REQUIRE(server->Start());
  }
  bool WaitRequests(std::size_t count) {
    return WaitUntil([&] { return requests.size() >= count; });
  }
};

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace

TEST_CASE("callers that send valid requests") {
  Fixture fixture;
  RawClient client(fixture.server->Port());

  SUBCASE("get complete responses to pipelined requests in order") {
    client.Send(std::string(kGet) + "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.WaitRequests(1));
    RunFor(50);
    CHECK(fixture.requests.size() == 1);
    fixture.responders[0]->StartStream(200, {});
    fixture.responders[0]->Write("first");
    RunFor(50);
    CHECK(fixture.requests.size() == 1);
    fixture.responders[0]->FinishStream();
    REQUIRE(fixture.WaitRequests(2));
    CHECK(fixture.requests[1].target == "/b");
    fixture.responders[1]->Send({200, {}, "second"});
    REQUIRE(client.WaitFor("second"));
    CHECK(client.Received().find("5\r\nfirst\r\n0\r\n\r\nHTTP/1.1 200") !=
          std::string::npos);
  }
  SUBCASE("get a response to Expect before they send the body") {
    client.Send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Expect: 100-continue\r\n\r\n");
    REQUIRE(client.WaitFor("100 Continue"));
    client.Send("body");
    REQUIRE(fixture.WaitRequests(1));
    CHECK(fixture.requests[0].body == "body");
  }
  SUBCASE("may disconnect in the middle of a stream") {
    client.Send(kGet);
    REQUIRE(fixture.WaitRequests(1));
    bool disconnected = false;
    fixture.responders[0]->OnCallerDisconnected([&] { disconnected = true; });
    fixture.responders[0]->StartStream(200, {});
    client.Leave();
    REQUIRE(WaitUntil([&] { return disconnected; }));
    fixture.responders[0]->Write("nobody reads this");
    fixture.responders[0]->FinishStream();
    CHECK_FALSE(fixture.responders[0]->IsOpen());
  }
  SUBCASE("get the complete response when the server stops listening") {
    client.Send(kGet);
    REQUIRE(fixture.WaitRequests(1));
    fixture.server->StopListening();
    fixture.responders[0]->Send({200, {}, "whole"});
    REQUIRE(client.WaitClosed());
    CHECK(client.Received().find("Connection: close\r\n\r\nwhole") !=
          std::string::npos);
  }
}

TEST_CASE("requests with invalid framing get 400 and reach no handler") {
  Fixture fixture;
  RawClient client(fixture.server->Port());
  SUBCASE("both length headers") {
    client.Send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  }
  SUBCASE("both length headers, in reverse order") {
    client.Send(
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 4\r\n\r\n0\r\n\r\n");
  }
  SUBCASE("two lengths") {
    client.Send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Content-Length: 5\r\n\r\nbody");
  }
  SUBCASE("not HTTP") { client.Send("\x16\x03\x01 hello\r\n\r\n"); }
  REQUIRE(client.WaitFor("HTTP/1.1 400"));
  CHECK(client.WaitClosed());
  CHECK(fixture.requests.empty());
}

TEST_CASE("callers that send too much or too slowly") {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  limits.request_timeout = Duration(150);
  limits.idle_timeout = Duration(400);
  Fixture fixture(limits);
  RawClient client(fixture.server->Port());
  SUBCASE("a huge length is rejected before the body") {
    client.Send(
        "POST /a HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: 999999999999999\r\n\r\n");
    REQUIRE(client.WaitFor("HTTP/1.1 413"));
  }
  SUBCASE("a chunked body is rejected at the limit") {
    client.Send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked" +
                std::string("\r\n\r\n800\r\n") + std::string(0x800, 'x'));
    REQUIRE(client.WaitFor("HTTP/1.1 413"));
  }
  SUBCASE("long headers are rejected") {
    client.Send("GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x'));
    REQUIRE(client.WaitFor("HTTP/1.1 413"));
  }
  SUBCASE("slow headers exceed the request time-out") {
    client.Send("GET /a HTTP/1.1\r\nHost:");
    REQUIRE(client.WaitFor("HTTP/1.1 408"));
  }
  SUBCASE("an idle connection is closed without a response") {
    REQUIRE(client.WaitClosed());
    CHECK(client.Received().empty());
  }
  CHECK(client.WaitClosed());
  CHECK(fixture.requests.empty());
}

// Guards against connections that the server closes by itself while nothing
// tells how many and why.
TEST_CASE("connections that the server closes are counted by their reason") {
  HttpServerLimits limits;
  limits.idle_timeout = Duration(100);
  Fixture fixture(limits);
  const auto count = [&](ConnectionCut reason) {
    return fixture.server->CutCount(reason);
  };
  RawClient client(fixture.server->Port());

  SUBCASE("idle for too long") {
    CHECK(client.WaitClosed(1'000));
    CHECK(count(ConnectionCut::kIdle) == 1);
  }
  SUBCASE("one too many") {
    limits.connections = 0;
    fixture.server->SetLimits(limits);
    CHECK(RawClient(fixture.server->Port()).WaitClosed(1'000));
    CHECK(count(ConnectionCut::kConnections) >= 1);
  }
  SUBCASE("idle when the server stops to listen") {
    REQUIRE(WaitUntil([&] { return fixture.server->ConnectionCount() == 1; }));
    fixture.server->StopListening();
    CHECK(client.WaitClosed(1'000));
    CHECK(count(ConnectionCut::kStop) == 1);
  }
  SUBCASE("aborted by the handler") {
    client.Send(kGet);
    REQUIRE(fixture.WaitRequests(1));
    fixture.responders[0]->Abort();
    CHECK(client.WaitClosed(1'000));
    CHECK(count(ConnectionCut::kAborted) == 1);
  }
  SUBCASE("with bytes behind the last request") {
    client.Send(std::string(kGet) + std::string(kGet));
    REQUIRE(fixture.WaitRequests(1));
    fixture.server->CloseAfterResponses();
    fixture.responders[0]->Send({200, {}, "last"});
    CHECK(client.WaitClosed(1'000));
    CHECK(count(ConnectionCut::kPipelined) == 1);
  }
  SUBCASE("but not after a complete response") {
    client.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    REQUIRE(fixture.WaitRequests(1));
    fixture.responders[0]->Send({200, {}, "last"});
    CHECK(client.WaitClosed(1'000));
    for (const auto reason : {ConnectionCut::kIdle, ConnectionCut::kConnections,
                              ConnectionCut::kStop, ConnectionCut::kAborted,
                              ConnectionCut::kPipelined}) {
      CHECK(count(reason) == 0);
    }
  }
}

// Guards against connections that are closed by a shorter idle time-out than
// the newest one, which their callers go by.
TEST_CASE("callers rely on limits that change while their connection waits") {
  HttpServerLimits limits;
  limits.idle_timeout = Duration(200);
  limits.request_timeout = Duration(200);
  limits.body_bytes = 4;
  Fixture fixture(limits);
  RawClient client(fixture.server->Port());
  REQUIRE(WaitUntil([&] { return fixture.server->ConnectionCount() == 1; }));
  const std::string post =
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n";
  const auto set_times = [&](int idle_ms, int request_ms) {
    limits.idle_timeout = Duration(idle_ms);
    limits.request_timeout = Duration(request_ms);
    fixture.server->SetLimits(limits);
  };

  SUBCASE("an idle time-out that grows holds for") {
    SUBCASE("a connection before its first request") {
      RunFor(50);
      set_times(5'000, 200);
      RunFor(400);
      client.Send(kGet);
      CHECK(fixture.WaitRequests(1));
    }
    SUBCASE("a connection between two requests") {
      client.Send(kGet);
      REQUIRE(fixture.WaitRequests(1));
      fixture.responders[0]->Send({200, {}, "first"});
      REQUIRE(client.WaitFor("first"));
      set_times(5'000, 200);
      RunFor(400);
      client.Send(kGet);
      CHECK(fixture.WaitRequests(2));
    }
    SUBCASE("the time since the connection became idle") {
      RunFor(150);
      set_times(400, 200);
      CHECK_FALSE(client.WaitClosed(150));
      CHECK(client.WaitClosed(200));
      CHECK(fixture.server->CutCount(ConnectionCut::kIdle) == 1);
    }
    SUBCASE("a connection that still waits after a later one that is shorter") {
      set_times(5'000, 200);
      set_times(200, 200);
      RunFor(400);
      client.Send(kGet);
      CHECK(fixture.WaitRequests(1));
    }
  }
  SUBCASE("a request time-out that grows holds for the rest of a request") {
    client.Send(kGet.substr(0, 10));
    RunFor(50);
    set_times(200, 5'000);
    RunFor(400);
    client.Send(kGet.substr(10));
    CHECK(fixture.WaitRequests(1));
  }
  SUBCASE("time-outs that shrink leave the longer ones to") {
    set_times(5'000, 5'000);
    SUBCASE("a connection that is idle, until it was used") {
      client.Send(kGet);
      REQUIRE(fixture.WaitRequests(1));
      fixture.responders[0]->Send({200, {}, "first"});
      REQUIRE(client.WaitFor("first"));
      set_times(100, 100);
      RunFor(200);
      client.Send(kGet);
      REQUIRE(fixture.WaitRequests(2));
      fixture.responders[1]->Send({200, {}, "second"});
      REQUIRE(client.WaitFor("second"));
      CHECK(client.WaitClosed(300));
    }
    SUBCASE("a request that arrives") {
      client.Send(kGet.substr(0, 10));
      RunFor(50);
      set_times(100, 100);
      RunFor(200);
      client.Send(kGet.substr(10));
      CHECK(fixture.WaitRequests(1));
    }
  }
  SUBCASE("the newest limits of a request apply to") {
    SUBCASE("a body that was too large before") {
      limits.body_bytes = 6;
      fixture.server->SetLimits(limits);
      client.Send(post + "longer");
      CHECK(fixture.WaitRequests(1));
    }
    SUBCASE("a body that is too large now") {
      limits.body_bytes = 6;
      fixture.server->SetLimits(limits);
      client.Send(kGet);
      REQUIRE(fixture.WaitRequests(1));
      fixture.responders[0]->Send({200, {}, "first"});
      REQUIRE(client.WaitFor("first"));
      limits.body_bytes = 4;
      fixture.server->SetLimits(limits);
      client.Send(post + "longer");
      CHECK(client.WaitFor("HTTP/1.1 413"));
    }
    SUBCASE("a header that was too long before") {
      limits.header_bytes = 40'000;
      fixture.server->SetLimits(limits);
      client.Send("GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x') +
                  "\r\n\r\n");
      CHECK(fixture.WaitRequests(1));
    }
  }
  SUBCASE("a request that arrives keeps the limits it began with") {
    client.Send(post.substr(0, 10));
    RunFor(50);
    limits.body_bytes = 6;
    fixture.server->SetLimits(limits);
    client.Send(post.substr(10));
    CHECK(client.WaitFor("HTTP/1.1 413"));
  }
}

// Guards against a request that is cut off unread, because the idle time-out of
// its connection was due first after a pause of the event loop.
TEST_CASE("a request that arrives during a pause of the event loop") {
  HttpServerLimits limits;
  limits.idle_timeout = Duration(100);
  limits.request_timeout = Duration(100);
  Fixture fixture(limits);
  RawClient client(fixture.server->Port());
  REQUIRE(WaitUntil([&] { return fixture.server->ConnectionCount() == 1; }));

  SUBCASE("is read before its connection counts as idle") {
    client.Send(kGet);
    std::this_thread::sleep_for(Duration(150));
    CHECK(fixture.WaitRequests(1));
  }
  SUBCASE("is read to its end before it counts as too slow") {
    client.Send(kGet.substr(0, 10));
    RunFor(50);
    client.Send(kGet.substr(10));
    std::this_thread::sleep_for(Duration(150));
    CHECK(fixture.WaitRequests(1));
  }
  SUBCASE("or when the time-out is already due") {
    std::string_view last = kGet;
    SUBCASE("on an idle connection") {}
    SUBCASE("as the end of a request") {
      client.Send(kGet.substr(0, 10));
      last.remove_prefix(10);
    }
    // The second timer and the time-out are due in one turn of the event loop.
    QObject context;
    QTimer::singleShot(10, Qt::PreciseTimer, &context,
                       [] { std::this_thread::sleep_for(Duration(150)); });
    QTimer::singleShot(20, Qt::PreciseTimer, &context,
                       [&] { client.Send(last); });
    CHECK(fixture.WaitRequests(1));
  }
  SUBCASE("and nothing else keeps the connection open") {
    std::this_thread::sleep_for(Duration(150));
    CHECK(client.WaitClosed(200));
  }
}

// Guards against a request that was read behind another one and cut off when
// the server stopped to listen.
TEST_CASE("a pipelined request is answered when the server stops to listen") {
  Fixture fixture;
  RawClient client(fixture.server->Port());
  client.Send(std::string(kGet) + std::string(kGet));
  REQUIRE(fixture.WaitRequests(1));
  fixture.responders[0]->Send({200, {}, "first"});
  fixture.server->StopListening();
  REQUIRE(fixture.WaitRequests(2));
  fixture.responders[1]->Send({200, {}, "second"});
  CHECK(client.WaitFor("second"));
  CHECK(client.WaitClosed());
}

// Guards against callers that wait for ever at a server that is gone, and
// against a late response of a handler that outlives it.
TEST_CASE("the connections of a server that is destroyed are closed") {
  Fixture fixture;
  RawClient idle(fixture.server->Port());
  RawClient waiting(fixture.server->Port());
  RawClient reading(fixture.server->Port());
  waiting.Send(kGet);
  REQUIRE(fixture.WaitRequests(1));
  reading.Send(kGet);
  REQUIRE(fixture.WaitRequests(2));
  fixture.responders[1]->StartStream(200, {});
  fixture.responders[1]->Write("first");
  REQUIRE(reading.WaitFor("first"));
  fixture.server.reset();
  // `RunFor` and `WaitUntil` start no event loop that would delete the sockets.
  QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);

  CHECK(idle.WaitClosed(1'000));
  CHECK(waiting.WaitClosed(1'000));
  CHECK(reading.WaitClosed(1'000));
  fixture.responders[0]->Send({200, {}, "late"});
  fixture.responders[1]->FinishStream();
  RunFor(50);
  CHECK(waiting.Received().empty());
  CHECK(reading.Received().find("0\r\n\r\n") == std::string::npos);
}

}  // namespace firmoor
