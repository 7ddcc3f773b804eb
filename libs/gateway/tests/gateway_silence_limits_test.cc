#include <doctest/doctest.h>

#include <QTimer>
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "silent_upstreams.h"

namespace firmoor {
namespace {

// Leaves each daemon one retry, or more than a request can use.
constexpr std::size_t kManyDaemons = 1'000;
constexpr std::size_t kOneDaemon = 1;

/// An upstream that announces a limit in each response; it holds responses back
/// while it is silent.
struct AnnouncingUpstream {
  std::string announced;
  bool is_silent = false;
  std::vector<RawUpstream::Connection*> held;
  RawUpstream upstream{[this](auto& connection) {
    if (connection.received.starts_with("GET /report")) {
      return SendResponse(connection, "404 None\r\n" + announced, "");
    }
    if (is_silent) return held.push_back(&connection);
    SendResponse(connection, "200 OK\r\n" + announced, "served");
  }};

  explicit AnnouncingUpstream(std::string announcement)
      : announced(std::move(announcement)) {}
  void AnswerHeld() {
    for (auto* connection : held) {
      SendResponse(*connection, "200 OK\r\n" + announced, "late");
    }
    held.clear();
  }
};

/// Two upstreams "a" and "b" whose announcements the gateway knows.
struct AnnouncedFixture {
  LogPipe log;
  GatewayFixture fixture{true, log.input()};
  AnnouncingUpstream a;
  AnnouncingUpstream b;

  explicit AnnouncedFixture(const std::string& announced)
      : a(announced), b(announced) {
    fixture.gateway.SeedSharedLimits(kOneDaemon, {});
    for (auto* upstream : {&a, &b}) {
      const std::string id = upstream == &a ? "a" : "b";
      const std::string other = upstream == &a ? "b" : "a";
      fixture.AddUpstream(id, upstream->upstream);
      fixture.gateway.RemoveUpstream(other);
      REQUIRE(fixture.SendRequest("once")->WaitFor("served"));
    }
    fixture.gateway.RemoveUpstream("b");
    fixture.AddUpstream("a", a.upstream);
  }
  /// Applies a coordinator's reply with permits and slots for both.
  void Grant(std::int64_t at_a, std::int64_t at_b) {
    const auto now = MonotonicNow();
    const auto report = fixture.gateway.ReportUpstreamLimits();
    UpstreamLimitReply reply{1, 1, true, {}};
    reply.grants_slots = true;
    reply.number = report.number;
    for (const auto& [id, count] : {std::pair("a", at_a), {"b", at_b}}) {
      reply.upstreams[id] = {0, 2, Duration(0), count, Duration(5'000), 2};
      reply.slots[id] = {0, count, true};
    }
    fixture.gateway.ApplyUpstreamLimits(reply, now);
    fixture.gateway.SetSharedLimits({{}, 8});
  }
  [[nodiscard]] double InFlight() const {
    return fixture.gateway.Loads().at("s").in_flight;
  }
  [[nodiscard]] std::size_t Beside() {
    return log.Lines("attempt-beside").size();
  }
};

}  // namespace

// Guards against a storm of retries when upstreams pause, and against retries
// that are lost though they were never sent.
TEST_CASE("attempts beside a silent one keep to the retry budget") {
  RacedRequest request(PauseInStream(), RejectNotRun);
  request.fixture.gateway.SeedSharedLimits(kManyDaemons, {});

  SUBCASE("with one retry there is one second attempt") {
    request.fixture.SetMaxUpstreams(4);
    request.StartStream();
    RawUpstream c(RejectNotRun);
    REQUIRE(request.WaitForSecond());
    request.fixture.AddUpstream("c", c);
    CHECK(request.caller->WaitFor(kEnd, 1'000));
    CHECK(HasEvents(*request.caller, {1, 2}));
    CHECK(request.b.Requests() + c.Requests() == 1);
    CHECK(request.HasMetric("started", 1));
    CHECK(request.HasMetric("dropped", 1));
  }
  SUBCASE("and it is given back if it was never sent") {
    request.StartAtFirst("resumable");
    request.fixture.AddUpstream("b", ClosedPort());
    CHECK(request.caller->WaitFor(kEnd, 2'500));
    const auto line = request.log.OnlyLine("attempt-failed");
    CHECK(line["upstream"].toString() == "b");
    CHECK(!line["may_have_left"].toBool());
    // The next request that needs it has it.
    RawUpstream sound(AnswerAfter(0, "200 OK", "sound"));
    RawUpstream breaking([&](auto& connection) {
      request.fixture.AddUpstream("d", sound);
      connection.socket->abort();
    });
    request.fixture.gateway.RemoveUpstream("a");
    request.fixture.gateway.RemoveUpstream("b");
    request.fixture.AddUpstream("c", breaking);
    const auto next = request.fixture.SendRequest("idempotent", "", "r2");
    CHECK(next->WaitFor("sound", 500));
  }
}

// Guards against requests that are sent to more upstreams than their route
// allows.
TEST_CASE("attempts beside a silent one keep to the route's upstreams") {
  struct Limited {
    RacedRequest request{PauseInStream(), RejectNotRun};
    RawUpstream c{RejectNotRun};
    RawUpstream d{RejectNotRun};

    explicit Limited(int max_upstreams) {
      request.fixture.gateway.SeedSharedLimits(kOneDaemon, {});
      request.fixture.SetMaxUpstreams(max_upstreams);
      request.StartStream();
      request.fixture.AddUpstream("c", c);
      request.fixture.AddUpstream("d", d);
    }
    void CheckStarted(int attempts) {
      CHECK(request.caller->WaitFor(kEnd, 2'500));
      CHECK(HasEvents(*request.caller, {1, 2}));
      CHECK(request.b.Requests() + c.Requests() + d.Requests() == attempts);
      CHECK(request.HasMetric("started", attempts));
    }
  };
  Limited two(2);
  // The second attempt is dropped, and a third one starts.
  Limited three(3);
  two.CheckStarted(1);
  three.CheckStarted(2);
}

// Guards against LOST: after a pause of both its upstreams a stream went on at
// one of them, which broke off, and the other one was not tried again.
TEST_CASE("an upstream that was overtaken while silent is tried again") {
  RacedRequest request(
      [](auto& connection) {
        StartEventStream(connection, MakeEvent(1));
        auto* socket = connection.socket;
        QTimer::singleShot(2'400, socket, [socket] {
          socket->write(QByteArray::fromStdString(MakeEvent(2)));
          socket->flush();
        });
        QTimer::singleShot(2'700, socket, [socket] { socket->abort(); });
      },
      [](auto& connection) {
        if (HasReceived(connection, "From: 2")) {
          SendEvents({{3, 0}})(connection);
        }
      });
  request.fixture.gateway.SeedSharedLimits(kOneDaemon, {});
  int max_upstreams = 3;
  SUBCASE("within the attempts of its route") {}
  SUBCASE("but not beyond") { max_upstreams = 2; }
  request.fixture.SetMaxUpstreams(max_upstreams);
  request.fixture.SetTimeouts(Duration(6'000));
  request.StartStream();
  REQUIRE(request.caller->WaitFor("id: 2", 3'000));
  REQUIRE(request.b.Requests() == 1);
  if (max_upstreams == 2) {
    CHECK(request.caller->WaitClosed(1'000));
    CHECK(request.b.Requests() == 1);
    return;
  }
  CHECK(request.caller->WaitFor(kEnd, 1'000));
  CHECK(HasEvents(*request.caller, {1, 2, 3}));
  CHECK(request.b.Requests() == 2);
}

// Guards against upstreams that get more than they announced to accept, and
// against places that stay taken.
TEST_CASE("two attempts at upstreams that announce a limit") {
  const auto start = [](AnnouncedFixture& fixture) {
    fixture.a.is_silent = true;
    auto caller = fixture.fixture.SendRequest("idempotent");
    REQUIRE(WaitUntil([&] { return fixture.a.held.size() == 1; }));
    return caller;
  };
  const auto start_both = [&](AnnouncedFixture& fixture) {
    fixture.Grant(1, 1);
    auto caller = start(fixture);
    fixture.b.is_silent = true;
    fixture.fixture.AddUpstream("b", fixture.b.upstream);
    REQUIRE(WaitUntil([&] { return fixture.b.held.size() == 1; }, 900));
    return caller;
  };
  const auto check_first_goes_on = [&](AnnouncedFixture& fixture) {
    fixture.Grant(1, 0);
    const auto caller = start(fixture);
    const auto before = fixture.b.upstream.Requests();
    fixture.fixture.AddUpstream("b", fixture.b.upstream);
    RunFor(800);
    CHECK(fixture.b.upstream.Requests() == before);
    CHECK(fixture.Beside() == 0);
    fixture.a.AnswerHeld();
    CHECK(caller->WaitFor("late", 500));
  };

  SUBCASE("of their rate: each has a permit") {
    AnnouncedFixture fixture("Limit: 2");
    const auto caller = start_both(fixture);
    CHECK(fixture.InFlight() == 2);
    fixture.b.AnswerHeld();
    CHECK(caller->WaitFor("late", 500));
    CHECK(fixture.InFlight() == 0);
    const auto report = fixture.fixture.gateway.ReportUpstreamLimits();
    CHECK(report.upstreams.at("a").returned == 0);
    CHECK(report.upstreams.at("b").returned == 0);
  }
  SUBCASE(
      "of their rate: none starts without a permit, and the first goes on") {
    AnnouncedFixture fixture("Limit: 2");
    check_first_goes_on(fixture);
  }
  SUBCASE("of their rate: a permit that was not used is returned") {
    AnnouncedFixture fixture("Limit: 2");
    fixture.Grant(1, 1);
    const auto caller = start(fixture);
    fixture.fixture.AddUpstream("b", ClosedPort());
    REQUIRE(WaitUntil(
        [&] { return !fixture.log.Lines("attempt-failed").empty(); }, 900));
    CHECK(fixture.InFlight() == 1);
    fixture.a.AnswerHeld();
    CHECK(caller->WaitFor("late", 500));
    CHECK(fixture.InFlight() == 0);
    const auto report = fixture.fixture.gateway.ReportUpstreamLimits();
    CHECK(report.upstreams.at("a").returned == 0);
    CHECK(report.upstreams.at("b").returned == 1);
  }
  SUBCASE("of their slots: each takes one until it ends") {
    AnnouncedFixture fixture("Brittle: 1");
    const auto caller = start_both(fixture);
    const auto busy = fixture.fixture.gateway.ReportUpstreamLimits();
    CHECK(busy.slots.at("a").in_flight == 1);
    CHECK(busy.slots.at("b").in_flight == 1);
    CHECK(fixture.InFlight() == 2);
    fixture.b.AnswerHeld();
    CHECK(caller->WaitFor("late", 500));
    const auto idle = fixture.fixture.gateway.ReportUpstreamLimits();
    for (const auto& [id, slots] : idle.slots) CHECK(slots.in_flight == 0);
    CHECK(fixture.InFlight() == 0);
  }
  SUBCASE("of their slots: none starts without a slot, and the first goes on") {
    AnnouncedFixture fixture("Brittle: 1");
    check_first_goes_on(fixture);
    CHECK(fixture.InFlight() == 0);
  }
}

// Guards against usage that is counted for each of two attempts.
TEST_CASE("a request with two attempts counts once") {
  const auto check = [](RacedRequest& request, std::string_view text) {
    CHECK(request.caller->WaitFor(text, 2'500));
    RunFor(50);
    CHECK(request.fixture.UsageCount() == 1);
  };
  SUBCASE("when the second one answers") {
    RacedRequest request(AnswerAfter(1'200, "200 OK", "of-a"),
                         AnswerAfter(50, "200 OK", "of-b"));
    request.fixture.RequireKeys(0, 0);
    request.Start("idempotent", "Key: k\r\n");
    check(request, "of-b");
  }
  SUBCASE("when the second one fails and the first answers") {
    RacedRequest request(AnswerAfter(1'000, "200 OK", "of-a"),
                         AnswerAfter(50, "500 Internal Server Error", "of-b"));
    request.fixture.RequireKeys(0, 0);
    request.Start("idempotent", "Key: k\r\n");
    check(request, "of-a");
  }
  SUBCASE("when neither answers") {
    RacedRequest request([](auto&) {}, [](auto&) {});
    request.fixture.RequireKeys(0, 0);
    request.Start("idempotent", "Key: k\r\nAllowed-Ms: 1000\r\n");
    check(request, "HTTP/1.1 504");
    CHECK(request.b.Requests() == 1);
  }
  SUBCASE("when a stream moves to the second one") {
    RacedRequest request(PauseInStream(), SendEvents({{2, 50}}));
    request.fixture.RequireKeys(0, 0);
    request.StartStream("Key: k\r\n");
    check(request, kEnd);
  }
}

// Guards against LOST: the configuration changes while a request has two
// attempts.
TEST_CASE("a change of the configuration beside two attempts") {
  RacedRequest removed(PauseInStream(), RejectNotRun);
  RacedRequest shortened(PauseInStream(), RejectNotRun);
  RacedRequest moved(PauseInStream(), RejectNotRun);
  RacedRequest unserved(PauseInStream(), RejectNotRun);
  const auto requests = {&removed, &shortened, &moved, &unserved};
  for (auto* request : requests) request->StartStream();

  // The route is gone.
  removed.fixture.Reconfigure([](auto* content) {
    std::erase_if(content->routes,
                  [](const auto& route) { return route.name == "resumable"; });
  });
  // The route has another service.
  moved.fixture.Reconfigure([](auto* content) {
    ServiceProfile service;
    service.name = "t";
    content->services.push_back(service);
    for (auto& route : content->routes) route.services = {{"t", 1}};
  });
  // The service is gone, with all of its routes.
  REQUIRE(unserved.WaitForSecond());
  unserved.fixture.Reconfigure([](auto* content) {
    content->routes.clear();
    content->services.clear();
  });
  // The timeouts are shorter than the time that has passed.
  REQUIRE(shortened.WaitForSecond());
  shortened.fixture.SetTimeouts(Duration(500));
  for (auto* request : requests) {
    CHECK(request->caller->WaitFor(kEnd, 1'000));
    CHECK(HasEvents(*request->caller, {1, 2}));
    CHECK(request->b.Requests() == 1);
  }
}

// Guards against a sound upstream that is taken for a crashed or lost one since
// it paused.
TEST_CASE("an upstream that paused and went on is not suspected") {
  RacedRequest request(PauseInStream(), SendEvents({{2, 5'000}}));
  request.StartStream("Chunk: c\r\n");
  CHECK(request.caller->WaitFor(kEnd, 2'500));
  RunFor(200);
  for (const std::string event :
       {"upstream-broken", "quarantine-suspected", "quarantine",
        "attempt-failed", "delegated"}) {
    CAPTURE(event);
    CHECK(request.log.Lines(QString::fromStdString(event)).empty());
  }
  // A silence has the links probed, which shows that they are sound.
  for (const auto& line : request.log.Lines("upstream-links")) {
    CHECK(line["after"].toString() != "unreachable");
    CHECK(line["failed"].toString().isEmpty());
  }
  CHECK(request.fixture.gateway.ReportQuarantine().crashes.empty());
  // It serves on.
  request.fixture.gateway.RemoveUpstream("b");
  const auto next = request.fixture.SendRequest("resumable", "", "r2");
  CHECK(next->WaitFor("id: 1", 500));
}

// Guards against LOST: while an engine copied a KV cache for 1.9 s, the stream
// was given up for an upstream that rejected it.
TEST_CASE("a stream goes on from its copy after another upstream rejected it") {
  RawUpstream::Connection* stream = nullptr;
  RacedRequest request(
      [&](auto& connection) {
        if (HasReceived(connection, "POST /move")) {
          stream->socket->abort();
          QTimer::singleShot(1'900, connection.socket, [&connection] {
            SendResponse(connection, "200 OK", "copy-7");
          });
          return;
        }
        if (HasReceived(connection, "GET /report")) {
          return SendResponse(connection, "200 OK", "1800");
        }
        stream = &connection;
        StartEventStream(connection, MakeEvent(1));
      },
      [](auto& connection) {
        const bool moved = HasReceived(connection, "Copy: copy-7");
        if (!moved) return RejectNotRun(connection);
        SendResponse(connection, "200 OK", MakeEvent(2));
      });
  request.fixture.SetTimeouts(Duration(6'000));
  request.StartStream();
  request.fixture.AddUpstream("a", request.a, true);
  CHECK(request.caller->WaitFor(kEnd));
  CHECK(HasEvents(*request.caller, {1, 2}));
  CHECK(request.b.Requests() == 2);
  CHECK(request.InFlight() == 0);
}

// Guards against LOST: the end of a stream at an engine that was overtaken
// while it copied a KV cache counted as the end at the next engine, when this
// one did not move it.
TEST_CASE("a stream that is to move a second time goes on where it is") {
  RawUpstream::Connection* stream = nullptr;
  RacedRequest request(
      [&](auto& connection) {
        // The order to move stays without a response.
        if (HasReceived(connection, "POST /move")) {
          return stream->socket->abort();
        }
        if (HasReceived(connection, "GET /report")) {
          return SendResponse(connection, "200 OK", "1200");
        }
        stream = &connection;
        StartEventStream(connection, MakeEvent(1));
      },
      [&](auto& connection) {
        if (HasReceived(connection, "POST /move")) {
          return SendResponse(connection, "404 Not Found", "");
        }
        if (HasReceived(connection, "GET /report")) {
          return SendResponse(connection, "200 OK", "1200");
        }
        SendEvents({{2, 0}, {3, 800}})(connection);
      });
  request.fixture.SetTimeouts(Duration(6'000));
  request.StartStream();
  request.fixture.AddUpstream("a", request.a, true);
  REQUIRE(request.caller->WaitFor("id: 2"));
  RawUpstream c(RejectNotRun);
  request.fixture.AddUpstream("c", c);
  request.fixture.AddUpstream("b", request.b, true);
  REQUIRE(WaitUntil([&] { return !request.log.Lines("move").empty(); }, 700));
  CHECK(request.caller->WaitFor(kEnd, 1'500));
  CHECK(HasEvents(*request.caller, {1, 2, 3}));
}

}  // namespace firmoor
