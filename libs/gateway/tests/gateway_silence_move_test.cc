#include <doctest/doctest.h>

#include <QTimer>
#include <memory>
#include <string>

#include "gateway_fixture.h"

namespace firmoor {
namespace {

constexpr std::string_view kEnd = "0\r\n\r\n";

bool Has(const RawUpstream::Connection& connection, std::string_view text) {
  return connection.received.find(text) != std::string::npos;
}

/// Answers a report with the time to its shutdown. Returns whether it did.
bool ReportsShutdown(RawUpstream::Connection& connection) {
  if (!Has(connection, "GET /report")) return false;
  SendResponse(connection, "200 OK", "1800");
  return true;
}

void SetTimeout(GatewayFixture* fixture, Duration timeout) {
  auto content = fixture->gateway.routes()->content();
  ++content.version;
  for (auto& route : content.routes) {
    route.timeout = timeout;
    route.max_upstreams = 3;
  }
  fixture->gateway.SetRoutes(std::make_shared<const RouteTable>(content));
}

/// Starts a stream of the events `first` to `last`, one a second.
void SendEvents(RawUpstream::Connection& connection, int first, int last) {
  std::size_t size = 0;
  for (int id = first; id <= last; ++id) {
    size += MakeEvent(id).size();
    QTimer::singleShot(1'000 * (id - first), connection.socket,
                       [s = connection.socket, id] {
                         s->write(QByteArray::fromStdString(MakeEvent(id)));
                       });
  }
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
      "\r\n\r\n"));
}

}  // namespace

// Guards against LOST: a stream whose engine neither sent events nor answered
// the order to move waited for both until its route's timeout.
TEST_CASE("a stream whose engine and its move are silent goes on elsewhere") {
  GatewayFixture fixture;
  SetTimeout(&fixture, Duration(6'000));
  RawUpstream leaving([&](auto& connection) {
    if (Has(connection, "POST /move") || ReportsShutdown(connection)) return;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  RawUpstream other([](auto& connection) {
    SendResponse(connection, "200 OK", MakeEvent(3));
  });
  fixture.AddUpstream("a", leaving);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", other);
  fixture.AddUpstream("a", leaving, true);
  CHECK(caller->WaitFor(kEnd, 4'500));
  CHECK(caller->Received().find("id: 3") != std::string::npos);
}

// Guards against a stream that is cut off since the upstream before it had
// ended its stream during a move that another upstream overtook.
TEST_CASE("a move that was overtaken says nothing about the next one") {
  GatewayFixture fixture;
  SetTimeout(&fixture, Duration(12'000));
  RawUpstream::Connection* stream = nullptr;
  RawUpstream a([&](auto& connection) {
    if (Has(connection, "POST /move")) return stream->socket->abort();
    if (ReportsShutdown(connection)) return;
    stream = &connection;
    StartEventStream(connection, MakeEvent(1) + MakeEvent(2));
  });
  bool is_ordered = false;
  RawUpstream b([&](auto& connection) {
    if (Has(connection, "POST /move")) {
      is_ordered = true;
      return SendResponse(connection, "404 Not Found", "");
    }
    if (!ReportsShutdown(connection)) SendEvents(connection, 3, 6);
  });
  RawUpstream full([](auto& connection) {
    SendResponse(connection, "503 Service Unavailable\r\nNot-Run: 1", "");
  });
  fixture.AddUpstream("a", a);
  auto caller = fixture.SendRequest("resumable");
  REQUIRE(caller->WaitFor("id: 2"));
  fixture.AddUpstream("b", b);
  fixture.AddUpstream("a", a, true);
  REQUIRE(caller->WaitFor("id: 3", 5'000));
  fixture.AddUpstream("c", full);
  fixture.AddUpstream("b", b, true);
  CHECK(caller->WaitFor(kEnd, 5'000));
  CHECK(is_ordered);
  CHECK(caller->Received().find("id: 6") != std::string::npos);
}

}  // namespace firmoor
