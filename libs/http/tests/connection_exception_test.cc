#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>
#include <string>

#include "base/exception_barrier.h"
#include "http/http_fetch.h"
#include "http/http_server.h"
#include "support/raw_socket.h"

namespace firmoor {

// Guards against an exception in the handler of one connection that ends the
// process with the requests of all others.
TEST_CASE("an exception ends the connection whose handler it leaves") {
  const auto caught = CaughtExceptionCount();

  SUBCASE("of a caller, and no other") {
    std::shared_ptr<HttpResponder> waiting;
    const auto server =
        HttpServer::Builder()
            .Listen({"127.0.0.1", 0})
            .Handler([&](const HttpRequest& request, const auto& responder) {
              if (request.target == "/throws") {
                throw std::length_error("reserve");
              }
              waiting = responder;
            })
            .Build();
    REQUIRE(server->Start());
    RawClient other(server->Port());
    other.Send("GET /waits HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(WaitUntil([&] { return waiting != nullptr; }));
    RawClient client(server->Port());
    client.Send("GET /throws HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(client.WaitClosed());
    CHECK(client.Received().empty());
    CHECK(server->CutCount(ConnectionCut::kFailed) == 1);
    CHECK(server->ConnectionCount() == 1);
    waiting->Send({200, {}, "answered"});
    CHECK(other.WaitFor("answered"));
  }
  SUBCASE("of an upstream, whose call ends") {
    RawUpstream upstream([](auto& connection) {
      connection.socket->write(
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    std::optional<HttpCallEnd> end;
    const auto call =
        HttpCall::Builder(upstream.Address(), {"GET", "/", {}, {}})
            .OnBody([](std::string_view) { throw std::bad_alloc(); })
            .OnEnd([&](HttpCallEnd how) { end = how; })
            .Start();
    REQUIRE(WaitUntil([&] { return end.has_value(); }));
    CHECK(*end == HttpCallEnd::kMalformed);
  }
  CHECK(CaughtExceptionCount() == caught + 1);
}

}  // namespace firmoor
