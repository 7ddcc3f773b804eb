#include "gateway/gateway.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <memory>
#include <string>

#include "support/raw_socket.h"

namespace firmoor {
namespace {

/// A dialect with the fewest headers: an id, a key and the time allowed.
class PlainDialect : public Dialect {
 public:
  [[nodiscard]] Outcome<ForwardRequest> ReadRequest(
      HttpRequest request) const override {
    ForwardRequest read;
    read.id = std::string(HeaderValue(request.headers, "Id"));
    read.key = std::string(HeaderValue(request.headers, "Key"));
    read.host = std::string(HeaderValue(request.headers, "Host"));
    const std::string allowed(HeaderValue(request.headers, "Allowed-Ms"));
    if (!allowed.empty()) read.time_allowed = Duration(std::stoi(allowed));
    read.method = request.method;
    read.target = request.target;
    read.body = request.body;
    return read;
  }
  [[nodiscard]] HttpRequest WriteRequest(
      const ForwardRequest& request, const UpstreamCall& call) const override {
    return {request.method,
            request.target,
            {{"Id", request.id},
             {"Upstream", call.upstream},
             {"From", call.last_event_id},
             {"Copy", call.copy ? call.copy->handle : ""}},
            request.body};
  }
  [[nodiscard]] HttpRequest WriteMove(const std::string& request_id,
                                      const Endpoint&) const override {
    return {"POST", "/move", {{"Id", request_id}}, ""};
  }
  [[nodiscard]] MoveAnswer ReadMove(const HttpAnswer& answer) const override {
    const bool stopped = answer.status == 200;
    return {stopped, stopped, stopped ? answer.body : ""};
  }
  [[nodiscard]] HttpRequest WriteStayQuery() const override {
    return {"GET", "/stay", {}, ""};
  }
  [[nodiscard]] std::optional<Duration> ReadStay(
      const HttpAnswer& answer) const override {
    return Duration(std::stoi(answer.body));
  }
  [[nodiscard]] UpstreamHead ReadHead(
      int status, const HttpHeaders& headers) const override {
    UpstreamHead head;
    head.status = status;
    head.request_id = std::string(HeaderValue(headers, "Id"));
    head.declared_not_run = !HeaderValue(headers, "Not-Run").empty();
    return head;
  }
};

Route MakeRoute(std::string name, RequestKind kind) {
  Route route;
  route.host = "h";
  route.path_prefix = "/" + name + "/";
  route.name = std::move(name);
  route.kind = kind;
  route.services = {{"s", 1}};
  route.timeout = Duration(3'000);
  route.objective = Duration(200);
  route.max_upstreams = 2;
  route.is_public = true;
  return route;
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

void Answer(RawUpstream::Connection& connection, const std::string& head,
            const std::string& body) {
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 " + head + "\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body));
}

void StartEvents(RawUpstream::Connection& connection, const std::string& body) {
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body));
  connection.socket->flush();
}

/// A gateway with callers' side and routes to one service.
struct World {
  PlainDialect dialect;
  EventLog log{-1};
  ServiceMetrics metrics;
  TrueTime true_time{WallClockMs(), MonotonicNow()};
  Gateway gateway{GatewaySettings{}, {&dialect, &log, &metrics, &true_time}};
  std::unique_ptr<HttpServer> server;

  explicit World(bool configured = true) {
    if (configured) Configure();
    Listen();
  }
  void Configure() {
    RouteTableContent content;
    content.version = 1;
    content.routes = {MakeRoute("idempotent", RequestKind::kIdempotent),
                      MakeRoute("once", RequestKind::kNonIdempotent),
                      MakeRoute("stream", RequestKind::kStream),
                      MakeRoute("resumable", RequestKind::kStream)};
    content.routes.back().is_resumable = true;
    ServiceProfile service;
    service.name = "s";
    service.engine = EngineProfile{.slots = 4, .moves_runs = true};
    content.services = {service};
    gateway.SetRoutes(std::make_shared<const RouteTable>(content));
    gateway.ConfirmRoutes(MonotonicNow());
  }
  /// From now on routes need the key "k" of a workspace with this quota, in
  /// requests; 0: none.
  void RequireKeys(double rate_per_s, double burst) {
    auto content = gateway.routes()->content();
    ++content.version;
    for (auto& route : content.routes) route.is_public = false;
    WorkspaceProfile workspace;
    workspace.name = "w";
    workspace.keys = {"k"};
    workspace.rate_per_s = rate_per_s;
    workspace.burst = burst;
    content.workspaces = {workspace};
    gateway.SetRoutes(std::make_shared<const RouteTable>(content));
  }
  void Listen() {
    server =
        HttpServer::Builder()
            .Listen({"127.0.0.1", 0})
            .Handler([this](const HttpRequest& request, const auto& responder) {
              gateway.Handle(request, responder);
            })
            .Build();
    REQUIRE(server->Start());
  }
  void Add(const std::string& id, const RawUpstream& upstream,
           bool leaving = false) {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.endpoint = upstream.Address();
    entry.slots = 4;
    entry.leaving = leaving;
    gateway.ApplyUpstream(entry);
  }
  [[nodiscard]] std::unique_ptr<RawClient> Ask(const std::string& route,
                                               const std::string& extra = "") {
    auto caller = std::make_unique<RawClient>(server->Port());
    caller->Send("POST /" + route + "/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n" +
                 extra + "Content-Length: 4\r\n\r\nbody");
    return caller;
  }
};

}  // namespace

TEST_CASE("a request is sent to another upstream") {
  World world;
  RawUpstream failing([](auto& connection) {
    Answer(connection, "500 Bad\r\nId: r1", "failed");
  });
  RawUpstream breaking(
      [](auto& connection) { connection.socket->disconnectFromHost(); });
  RawUpstream full([](auto& connection) {
    Answer(connection, "503 Full\r\nNot-Run: 1", "");
  });
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });

  SUBCASE("when it may be repeated and the first one failed") {
    world.Add("a", failing);
    world.Add("b", good);
    for (int i = 0; i < 4; ++i) {
      CHECK(world.Ask("idempotent")->WaitFor("fine"));
    }
  }
  SUBCASE("when the first one declared that it did not run") {
    world.Add("a", full);
    world.Add("b", good);
    for (int i = 0; i < 4; ++i) CHECK(world.Ask("once")->WaitFor("fine"));
  }
  SUBCASE("but not when it may have run and must not run twice") {
    world.Add("a", breaking);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 502"));
    CHECK(breaking.Requests() == 1);
  }
  SUBCASE("and the failure is passed on unchanged when it must not") {
    world.Add("a", failing);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("failed"));
    CHECK(caller->Received().starts_with("HTTP/1.1 500"));
  }
  SUBCASE("and refused as not run when all declared that") {
    world.Add("a", full);
    auto caller = world.Ask("once");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 503"));
    CHECK(caller->Received().find("Retry-After: 0.") != std::string::npos);
  }
}

TEST_CASE("a request that an allowance does not cover") {
  World world;
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);
  world.RequireKeys(1, 1);
  const SharedLimits grant{{{"w", {1, 0}}}, 8};

  SUBCASE("waits for the coordinator that answers, and passes") {
    world.gateway.SetSharedLimits({{}, 8});
    QObject context;
    world.gateway.OnQuotaShort([&] {
      QTimer::singleShot(20, &context,
                         [&] { world.gateway.SetSharedLimits(grant); });
    });
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("fine"));
  }
  SUBCASE("is refused when the coordinator grants nothing") {
    world.gateway.SetSharedLimits({{}, 8});
    auto caller = world.Ask("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    CHECK(caller->Received().starts_with("HTTP/1.1 429"));
  }
  SUBCASE("passes by an equal part when the number of daemons is known") {
    world.RequireKeys(20, 1);
    world.gateway.AssumeShared(1, {});
    CHECK(WaitUntil([&] {
      const auto caller = world.Ask("once", "Key: k\r\n");
      REQUIRE(caller->WaitFor("HTTP/1.1 "));
      return caller->Received().starts_with("HTTP/1.1 200");
    }));
  }
  SUBCASE("is refused at once when the coordinator is away") {
    auto caller = world.Ask("once", "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 429", 150));
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE("usage counts a request that an upstream began to run") {
  World world;
  world.RequireKeys(0, 0);
  const auto counted = [&] {
    std::int64_t sum = 0;
    for (const auto& [window, counts] : world.gateway.ledger().windows()) {
      for (const auto& [name, count] : counts) sum += count;
    }
    return sum;
  };
  const auto ask = [&](const std::string& route) {
    auto caller = world.Ask(route, "Key: k\r\n");
    REQUIRE(caller->WaitFor("HTTP/1.1 "));
    RunFor(50);
  };

  SUBCASE("also a stream that fails before its first event") {
    RawUpstream failing([](auto& connection) {
      Answer(connection, "500 Bad\r\nId: r1", "failed");
    });
    world.Add("a", failing);
    ask("stream");
    CHECK(counted() == 1);
  }
  SUBCASE("once, when it is sent to two") {
    RawUpstream failing([](auto& connection) {
      Answer(connection, "500 Bad\r\nId: r1", "failed");
    });
    world.Add("a", failing);
    world.Add("b", failing);
    ask("resumable");
    CHECK(failing.Requests() == 2);
    CHECK(counted() == 1);
  }
  SUBCASE("but none that it declared not run") {
    RawUpstream full([](auto& connection) {
      Answer(connection, "503 Full\r\nNot-Run: 1", "");
    });
    world.Add("a", full);
    ask("stream");
    CHECK(counted() == 0);
  }
}

TEST_CASE("requests that arrive while a daemon starts (power is back)") {
  World world(false);
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);

  SUBCASE("wait for the first configuration, which is on its way") {
    auto caller = world.Ask("once");
    RunFor(100);
    CHECK(caller->Received().empty());
    world.Configure();
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are refused as not run when it does not come") {
    auto caller = world.Ask("once");
    CHECK(caller->WaitFor("HTTP/1.1 503", 600));
    SUBCASE("later ones at once") {
      CHECK(world.Ask("once")->WaitFor("HTTP/1.1 503", 150));
    }
  }
  SUBCASE("are forgotten when their caller has left") {
    world.Ask("once")->Leave();
    RunFor(50);
    world.Configure();
    RunFor(100);
    CHECK(good.Requests() == 0);
  }
}

TEST_CASE("quotas of a daemon that starts without a coordinator") {
  World world;
  RawUpstream good(
      [](auto& connection) { Answer(connection, "200 OK\r\nId: r1", "fine"); });
  world.Add("a", good);
  world.RequireKeys(20, 10);

  world.gateway.ExpectShared(MonotonicNow() + Duration(2'000));
  SUBCASE("are asked for again when the number of daemons is read") {
    auto caller = world.Ask("once", "Key: k\r\n");
    RunFor(50);
    world.gateway.AssumeShared(1, {});
    CHECK(caller->WaitFor("fine", 500));
  }
  SUBCASE("are refused soon when that takes long") {
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("HTTP/1.1 429", 600));
  }
  SUBCASE("are not waited for when nothing is left to read") {
    world.gateway.AssumeShared(400, {});
    CHECK(world.Ask("once", "Key: k\r\n")->WaitFor("HTTP/1.1 429", 150));
  }
}

TEST_CASE("a proof of the configuration from another daemon") {
  World world;
  const auto asked_at = MonotonicNow() + Duration(60'000);

  SUBCASE("is as old as it was when this daemon asked") {
    CHECK(world.gateway.ConfirmRoutesBy(1, Duration(500), asked_at));
    CHECK(world.gateway.freshness().Age(asked_at) == Duration(500));
  }
  SUBCASE("does not count for another version") {
    CHECK_FALSE(world.gateway.ConfirmRoutesBy(2, Duration(500), asked_at));
    CHECK(world.gateway.freshness().Age(asked_at) > Duration(50'000));
  }
}

TEST_CASE("an answer that belongs to another request is not passed on") {
  World world;
  RawUpstream confused([](auto& connection) {
    Answer(connection, "200 OK\r\nId: other", "secret");
  });
  world.Add("a", confused);
  auto caller = world.Ask("once");
  REQUIRE(caller->WaitFor("HTTP/1.1 "));
  CHECK(caller->Received().starts_with("HTTP/1.1 502"));
  CHECK(caller->Received().find("secret") == std::string::npos);
}

TEST_CASE("a stream that breaks off") {
  World world;
  RawUpstream breaking([](auto& connection) {
    StartEvents(connection, Event(1) + Event(2) + "id: 3\nda");
    QTimer::singleShot(50, connection.socket,
                       [s = connection.socket] { s->disconnectFromHost(); });
  });

  SUBCASE("goes on elsewhere after the last event, when it is resumable") {
    RawUpstream rest([](auto& connection) {
      const bool resumed =
          connection.received.find("From: 2") != std::string::npos;
      Answer(connection, "200 OK", resumed ? Event(3) + Event(4) : "wrong");
    });
    world.Add("a", breaking);
    auto caller = world.Ask("resumable");
    REQUIRE(caller->WaitFor("id: 2"));
    world.Add("b", rest);
    REQUIRE(caller->WaitFor("id: 4"));
    const auto& received = caller->Received();
    CHECK(received.find("id: 3") == received.rfind("id: 3"));
    CHECK(received.find("da\r\n") == std::string::npos);
    CHECK(caller->WaitFor("0\r\n\r\n"));
  }
  SUBCASE("is broken off towards the caller, when it is not") {
    world.Add("a", breaking);
    auto caller = world.Ask("stream");
    REQUIRE(caller->WaitFor("id: 2"));
    CHECK(caller->WaitClosed());
    CHECK(caller->Received().find("0\r\n\r\n") == std::string::npos);
  }
}

TEST_CASE("a stream at an engine that is reclaimed") {
  World world;
  std::string move_answer = "200 OK";
  RawUpstream::Connection* stream = nullptr;
  RawUpstream leaving([&](auto& connection) {
    // The calls come one after the other on one kept connection.
    if (connection.received.find("POST /move") != std::string::npos) {
      if (move_answer == "200 OK") stream->socket->abort();
      return Answer(connection, move_answer, "copy-7");
    }
    if (connection.received.find("GET /stay") != std::string::npos) {
      return Answer(connection, "200 OK", "1800");
    }
    stream = &connection;
    StartEvents(connection, Event(1) + Event(2));
  });
  RawUpstream other([](auto& connection) {
    const bool moved =
        connection.received.find("Copy: copy-7") != std::string::npos &&
        connection.received.find("From: 2") != std::string::npos;
    Answer(connection, "200 OK", moved ? Event(3) : "wrong");
  });
  world.Add("a", leaving);
  auto caller = world.Ask("stream");
  REQUIRE(caller->WaitFor("id: 2"));
  world.Add("b", other);

  SUBCASE("goes on at another one, although it must not run twice") {
    world.Add("a", leaving, true);
    REQUIRE(caller->WaitFor("0\r\n\r\n"));
    CHECK(caller->Received().find("id: 3") != std::string::npos);
  }
  SUBCASE("stays when it cannot be moved") {
    move_answer = "404 No Run";
    world.Add("a", leaving, true);
    REQUIRE(WaitUntil([&] { return leaving.Requests() == 3; }));
    RunFor(100);
    CHECK(other.Requests() == 0);
    stream->socket->disconnectFromHost();
    CHECK(caller->WaitClosed());
  }
}

TEST_CASE("a stream is not cut before its caller has given it up") {
  World world;
  RawUpstream slow([](auto& connection) { StartEvents(connection, Event(1)); });
  world.Add("a", slow);
  auto caller = world.Ask("stream", "Allowed-Ms: 400\r\n");
  REQUIRE(caller->WaitFor("id: 1"));
  // Callers may wait a little longer than they say, and leave by themselves.
  CHECK_FALSE(caller->WaitClosed(700));
  CHECK(caller->WaitClosed(1'000));
}

TEST_CASE("a stream whose events flow is delivered late rather than cut") {
  World world;
  QTimer events;
  int sent = 0;
  RawUpstream steady([&](auto& connection) {
    StartEvents(connection, Event(++sent));
    QObject::connect(&events, &QTimer::timeout, connection.socket,
                     [&sent, socket = connection.socket] {
                       socket->write(QByteArray::fromStdString(Event(++sent)));
                     });
    events.start(100);
  });
  world.Add("a", steady);
  auto caller = world.Ask("stream", "Allowed-Ms: 300\r\n");
  REQUIRE(caller->WaitFor("id: 1"));

  SUBCASE("long after the time that its caller allowed") {
    CHECK(caller->WaitFor("id: 20", 2'500));
  }
  SUBCASE("but not when the events stop then") {
    REQUIRE(caller->WaitFor("id: 12", 2'000));
    events.stop();
    CHECK(caller->WaitClosed(1'500));
  }
  SUBCASE("and not beyond the time of the route") {
    REQUIRE(caller->WaitFor("id: 20", 2'500));
    CHECK(caller->WaitClosed(1'500));
  }
}

TEST_CASE("a caller that leaves") {
  World world;
  bool closed = false;
  RawUpstream busy([&](auto& connection) {
    QObject::connect(connection.socket, &QTcpSocket::disconnected,
                     connection.socket, [&] { closed = true; });
  });
  world.Add("a", busy);

  SUBCASE("stops work that may be repeated") {
    auto caller = world.Ask("idempotent");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    CHECK(WaitUntil([&] { return closed; }, 400));
    CHECK(world.gateway.InWork() == 0);
  }
  SUBCASE("does not stop work that runs only once") {
    auto caller = world.Ask("once");
    REQUIRE(WaitUntil([&] { return busy.Requests() == 1; }));
    caller->Leave();
    RunFor(200);
    CHECK_FALSE(closed);
  }
}

}  // namespace firmoor
