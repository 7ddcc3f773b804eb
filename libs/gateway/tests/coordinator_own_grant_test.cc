#include <doctest/doctest.h>

#include <memory>

#include "coordinator_fixture.h"
#include "gateway_fixture.h"

namespace firmoor {

// Guards against requests at the coordinator's own daemon that are refused
// though the coordinator would grant what they wait for: that daemon made no
// early reports.
TEST_CASE("a request at the coordinator's daemon waits for a grant") {
  MemoryStore store;
  RecordingCloudApi cloud;
  TestDialect dialect;
  CoordinatorDaemon daemon("only", ReservePort(), &store, &cloud, &dialect);
  RawUpstream upstream([](auto& connection) {
    SendResponse(connection, "200 OK\r\nId: r1", "fine");
  });
  auto content = daemon.gateway.routes()->content();
  ++content.version;
  auto route = MakeRoute("once", RequestKind::kNonIdempotent);
  route.services = {{"engine", 1}};
  route.is_public = false;
  content.routes = {route};
  WorkspaceProfile workspace;
  workspace.name = "w";
  workspace.keys = {"k"};
  workspace.rate_per_s = 1;
  workspace.burst = 1;
  content.workspaces = {workspace};
  daemon.gateway.SetRoutes(std::make_shared<const RouteTable>(content));
  UpstreamEntry entry;
  entry.id = "a";
  entry.service = "engine";
  entry.endpoint = upstream.Address();
  daemon.gateway.ApplyUpstream(entry);
  const auto server =
      HttpServer::Builder()
          .Listen({"127.0.0.1", 0})
          .Handler([&](const HttpRequest& request, const auto& responder) {
            daemon.gateway.Handle(request, responder);
          })
          .Build();
  REQUIRE(server->Start());
  REQUIRE(daemon.coordination.Start());
  REQUIRE(WaitUntil([&] { return daemon.coordination.IsHolder(); }));
  // The coordinator divides limits after 2.5 s.
  RunFor(3'500);

  // The next regular report is a second away.
  const auto report = daemon.gateway.LastReport();
  REQUIRE(WaitUntil([&] { return daemon.gateway.LastReport() > report; }));
  daemon.gateway.ConfirmRoutes(MonotonicNow());
  RawClient caller(server->Port());
  caller.Send(
      "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"
      "Content-Length: 4\r\n\r\nbody");
  REQUIRE(caller.WaitFor("HTTP/1.1 "));
  CAPTURE(caller.Received());
  CHECK(caller.Received().starts_with("HTTP/1.1 200"));
}

}  // namespace firmoor
