#include <doctest/doctest.h>

#include <QJsonObject>
#include <QTimer>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "metrics/service_metrics.h"
#include "serving/dispatcher.h"
#include "serving/sse_parser.h"
#include "support/raw_socket.h"

namespace firmoor {
namespace {

constexpr const char* kToken = "token";
// Upstreams pause for longer than the service's longest silence.
constexpr int kStallMs = 300;
constexpr int kPauseMs = 900;

/// Polls for the load have connections of their own.
bool IsPoll(const RawUpstream::Connection& connection) {
  return connection.received.starts_with("GET /load") ||
         connection.received.starts_with("GET /cache");
}

std::string MakeHead(std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

/// Answers with `before`, a pause and `after`; an empty `before` pauses before
/// the head. Counts its requests without those for its load, of which it resets
/// the first ones.
class PausingUpstream {
 public:
  PausingUpstream(std::string before, std::string after,
                  int pause_ms = kPauseMs)
      : before_(std::move(before)),
        after_(std::move(after)),
        pause_ms_(pause_ms) {}

  void ResetNext() { ++resets_; }
  [[nodiscard]] int requests() const { return requests_; }
  [[nodiscard]] Endpoint Address() const { return upstream_.Address(); }

 private:
  void Answer(RawUpstream::Connection& connection) {
    if (IsPoll(connection)) {
      return Write(connection.socket, MakeHead(2) + "{}");
    }
    ++requests_;
    if (resets_ > 0) {
      --resets_;
      return connection.socket->abort();
    }
    auto head = MakeHead(before_.size() + after_.size());
    if (!before_.empty()) {
      Write(connection.socket, std::exchange(head, "") + before_);
    }
    QTimer::singleShot(
        pause_ms_, connection.socket,
        [this, head, s = connection.socket] { Write(s, head + after_); });
  }
  static void Write(QTcpSocket* socket, const std::string& bytes) {
    socket->write(QByteArray::fromStdString(bytes));
    socket->flush();
  }

  std::string before_;
  std::string after_;
  int pause_ms_;
  int requests_ = 0;
  int resets_ = 0;
  RawUpstream upstream_{[this](auto& connection) { Answer(connection); }};
};

Configuration MakeConfiguration() {
  QJsonObject desk{
      {"kind", "plain"}, {"deadline_ms", 4'000}, {"stall_ms", kStallMs}};
  QJsonObject assist = desk;
  assist["kind"] = "model";
  const QJsonObject workspace{
      {"token_sha256", QString::fromStdString(Sha256Hex(kToken))}};
  auto parsed = Capture([&] {
    return Configuration::Parse(
        1, {{"services", QJsonObject{{"desk", desk}, {"assist", assist}}},
            {"workspaces", QJsonObject{{"salon", workspace}}}});
  });
  return std::get<Configuration>(parsed);
}

/// A dispatcher behind an HTTP server.
struct DispatcherFixture {
  ServiceMetrics metrics;
  Dispatcher dispatcher{MakeEnvironment(&metrics)};
  std::vector<Vm> vms;
  std::unique_ptr<HttpServer> server;

  DispatcherFixture() {
    dispatcher.SetConfiguration(MakeConfiguration());
    server =
        HttpServer::Builder()
            .Listen({"127.0.0.1", 0})
            .Handler([this](const HttpRequest& request, const auto& responder) {
              dispatcher.Handle(request, responder);
            })
            .Build();
    REQUIRE(server->Start());
  }
  static DispatcherEnvironment MakeEnvironment(ServiceMetrics* metrics) {
    DispatcherEnvironment environment;
    environment.daemon = "d";
    environment.availability_zone = "a";
    environment.region = "home";
    environment.metrics = metrics;
    environment.is_live = [](const std::string&) { return true; };
    return environment;
  }
  void AddUpstream(const std::string& id, const std::string& service,
                   const PausingUpstream& upstream) {
    vms.push_back({id, service, "a", "home", upstream.Address()});
    dispatcher.ApplyVmList(vms);
  }
  [[nodiscard]] std::unique_ptr<RawClient> Send(
      const std::string& line, const std::string& body = "saturday",
      const std::string& extra = "") const {
    auto caller = std::make_unique<RawClient>(server->Port());
    caller->Send(line + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
                 kToken + "\r\n" + extra + "Content-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller;
  }
};

constexpr const char* kOnce = "POST /services/desk/bookings";
constexpr const char* kRepeatable = "GET /services/desk/schedule";
constexpr const char* kGenerate = "POST /v1/completions";
constexpr const char* kPrompt =
    R"({"model":"assist","prompt":"p","max_tokens":2,"stream":true})";

std::string MakeToken(const std::string& text) {
  return FormatSseEvent("", R"({"choices":[{"text":")" + text + R"("}]})");
}

}  // namespace

// Guards against LOST: an answer ended after some silence of its upstream
// though nothing else went on with it, also one that must not run twice.
TEST_CASE("an answer waits for its upstream while no other may take over") {
  DispatcherFixture fixture;

  SUBCASE("that pauses within the answer to a request that must not repeat") {
    PausingUpstream a("half-", "whole");
    PausingUpstream b("", "of-b", 0);
    fixture.AddUpstream("a", "desk", a);
    const auto caller = fixture.Send(kOnce);
    REQUIRE(WaitUntil([&] { return a.requests() == 1; }));
    fixture.AddUpstream("b", "desk", b);
    CHECK(caller->WaitFor("half-whole", 3'000));
    CHECK(b.requests() == 0);
  }
  SUBCASE("that pauses before the head") {
    PausingUpstream a("", "whole");
    fixture.AddUpstream("a", "desk", a);
    const auto caller = fixture.Send(kRepeatable);
    CHECK(caller->WaitFor("whole", 3'000));
    CHECK(a.requests() == 1);
  }
  SUBCASE("that pauses within a stream") {
    PausingUpstream a(MakeToken("one"),
                      MakeToken("two") + FormatSseEvent("", kStreamEnd));
    fixture.AddUpstream("a", "assist", a);
    const auto caller = fixture.Send(kGenerate, kPrompt);
    CHECK(caller->WaitFor(kStreamEnd, 3'000));
    CHECK(caller->Received().find("two") != std::string::npos);
    CHECK(a.requests() == 1);
  }
  SUBCASE("until its own time is over") {
    PausingUpstream a("", "whole", 60'000);
    fixture.AddUpstream("a", "desk", a);
    const auto caller =
        fixture.Send(kRepeatable, "", "Firmoor-Deadline-Ms: 1000\r\n");
    CHECK_FALSE(caller->WaitFor("HTTP/1.1 ", 900));
    REQUIRE(caller->WaitFor("HTTP/1.1 ", 1'000));
    CHECK(caller->Received().find("deadline-exceeded") != std::string::npos);
  }
}

// Guards against answers that wait for a silent upstream though another one can
// take over.
TEST_CASE("an answer leaves a silent upstream for one that may take over") {
  DispatcherFixture fixture;
  PausingUpstream silent("", "late", 60'000);
  PausingUpstream other("", "of-other", 0);

  SUBCASE("which is there already") {
    fixture.AddUpstream("a", "desk", silent);
    const auto caller = fixture.Send(kRepeatable);
    REQUIRE(WaitUntil([&] { return silent.requests() == 1; }));
    fixture.AddUpstream("b", "desk", other);
    CHECK(caller->WaitFor("of-other", 2 * kStallMs + 400));
  }
  SUBCASE("which comes later") {
    fixture.AddUpstream("a", "desk", silent);
    const auto caller = fixture.Send(kRepeatable);
    REQUIRE(WaitUntil([&] { return silent.requests() == 1; }));
    RunFor(3 * kStallMs);
    fixture.AddUpstream("b", "desk", other);
    CHECK(caller->WaitFor("of-other", 2 * kStallMs + 400));
  }
  SUBCASE("which had failed before") {
    other.ResetNext();
    fixture.AddUpstream("a", "desk", silent);
    fixture.AddUpstream("b", "desk", other);
    const auto caller = fixture.Send(kRepeatable);
    CHECK(caller->WaitFor("of-other", 4 * kStallMs + 400));
    CHECK(other.requests() == 2);
  }
}

// Guards against a false not-run: the attempt of a request was sent and stopped
// for a hand-over, which another daemon refused; then no upstream was left.
TEST_CASE("a request that was sent before its hand-over may have run") {
  DispatcherFixture fixture;
  PausingUpstream silent("", "late", 60'000);
  fixture.AddUpstream("a", "desk", silent);
  const auto caller = fixture.Send(kRepeatable);
  REQUIRE(WaitUntil([&] { return silent.requests() == 1; }));
  const auto records = fixture.dispatcher.DetachForHandover(true);
  REQUIRE(records.size() == 1);
  CHECK(records.front().earlier_unknown);
  // The list with the upstream of another service only.
  fixture.dispatcher.ApplyVmList(
      {{"b", "assist", "a", "home", silent.Address()}});
  fixture.dispatcher.FinishHandover(records.front().id,
                                    Dispatcher::HandoverResult::kRefused);
  REQUIRE(caller->WaitFor("Firmoor-Code: 3001"));
  CHECK(caller->WaitFor("Firmoor-Outcome: unknown", 500));
}

// Guards against a hand-over without an answer: the daemon stopped before it
// was confirmed, and the caller's connection was closed.
TEST_CASE("a stop amid a hand-over leaves the outcome unknown") {
  DispatcherFixture fixture;
  PausingUpstream silent("", "late", 60'000);
  fixture.AddUpstream("a", "desk", silent);
  const auto caller = fixture.Send(kRepeatable);
  REQUIRE(WaitUntil([&] { return silent.requests() == 1; }));
  REQUIRE(fixture.dispatcher.DetachForHandover(true).size() == 1);
  fixture.dispatcher.EndRequests();
  REQUIRE(caller->WaitFor("Firmoor-Code: 6001"));
  CHECK(caller->WaitFor("Firmoor-Outcome: unknown", 500));
  CHECK(fixture.dispatcher.ActiveRequestCount() == 0);
}

}  // namespace firmoor
