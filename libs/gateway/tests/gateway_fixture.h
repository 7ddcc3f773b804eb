#ifndef FIRMOOR_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
#define FIRMOOR_GATEWAY_TESTS_GATEWAY_FIXTURE_H_

#include <doctest/doctest.h>

#include <QTimer>
#include <cctype>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway.h"
#include "http/http_server.h"
#include "support/raw_socket.h"
#include "support/reserved_port.h"

namespace firmoor {

/// The end of a response in the caller's connection.
constexpr std::string_view kEnd = "0\r\n\r\n";
// Requests that nobody can serve, and streams that cannot go on, end within
// this time.
constexpr int kPromptlyMs = 300;

/// A minimal dialect with headers for an id, a key and the caller's timeout.
class TestDialect : public Dialect {
 public:
  [[nodiscard]] Outcome<ForwardRequest> DecodeRequest(
      HttpRequest request) const override {
    ForwardRequest read;
    read.id = std::string(HeaderValue(request.headers, "Id"));
    read.key = std::string(HeaderValue(request.headers, "Key"));
    read.host = std::string(HeaderValue(request.headers, "Host"));
    const std::string allowed(HeaderValue(request.headers, "Allowed-Ms"));
    if (!allowed.empty()) read.caller_timeout = Duration(std::stoi(allowed));
    read.last_event_id = std::string(HeaderValue(request.headers, "Seen"));
    read.resumed_id = std::string(HeaderValue(request.headers, "Stream-Id"));
    read.method = request.method;
    read.target = request.target;
    read.body = request.body;
    const std::string chunk(HeaderValue(request.headers, "Chunk"));
    if (!chunk.empty()) read.shared_chunk_digests = {chunk};
    return read;
  }
  [[nodiscard]] HttpRequest EncodeRequest(
      const ForwardRequest& request, const UpstreamCall& call) const override {
    return {request.method,
            request.target,
            {{"Id", request.id},
             {"Upstream", call.upstream},
             {"From", call.last_event_id},
             {"Time-Left", std::to_string(call.time_left.count())},
             {"Copy", call.copy ? call.copy->handle : ""}},
            request.body};
  }
  [[nodiscard]] HttpRequest EncodeMoveRequest(const std::string& request_id,
                                              const Endpoint&) const override {
    return {"POST", "/move", {{"Id", request_id}}, ""};
  }
  [[nodiscard]] MoveResult DecodeMoveResponse(
      const HttpResponse& answer) const override {
    const bool copied = answer.status == 200;
    const bool stopped = copied || answer.status == 503;
    return {stopped, copied, stopped ? answer.body : "", answer.status == 404};
  }
  [[nodiscard]] HttpRequest EncodeReportRequest() const override {
    return {"GET", "/report", {}, ""};
  }
  /// Body "TIME_TO_SHUTDOWN_MS", "RUNNING/WAITING" or "born UNIX_MS"; anything
  /// else is no report.
  [[nodiscard]] EngineReport DecodeReport(
      const HttpResponse& answer) const override {
    constexpr std::string_view kBorn = "born ";
    EngineReport report;
    if (answer.body.starts_with(kBorn)) {
      report.born_ms = std::stoll(answer.body.substr(kBorn.size()));
      return report;
    }
    if (answer.body.empty() || std::isdigit(answer.body.front()) == 0) {
      return report;
    }
    const auto slash = answer.body.find('/');
    if (slash == std::string::npos) {
      report.time_to_shutdown = Duration(std::stoi(answer.body));
    } else {
      report.load = {std::stoi(answer.body),
                     std::stoi(answer.body.substr(slash + 1))};
    }
    return report;
  }
  [[nodiscard]] UpstreamResponseHead DecodeResponseHead(
      int status, const HttpHeaders& headers) const override {
    UpstreamResponseHead head;
    head.status = status;
    head.request_id = std::string(HeaderValue(headers, "Id"));
    head.declared_not_run = !HeaderValue(headers, "Not-Run").empty();
    head.leaving = !HeaderValue(headers, "Leaving").empty();
    head.wrong_upstream = status == 421;
    const std::string closed(HeaderValue(headers, "Closed-Ms"));
    if (!closed.empty()) head.retry_after = Duration(std::stoi(closed));
    const std::string limit(HeaderValue(headers, "Limit"));
    if (!limit.empty()) head.rate_limit = std::stod(limit);
    const std::string brittle(HeaderValue(headers, "Brittle"));
    if (!brittle.empty()) head.rejection_tolerance = std::stod(brittle);
    const std::string seal(HeaderValue(headers, "Seal"));
    if (!seal.empty()) head.headers = {{"Seal", seal}};
    return head;
  }
};

inline Route MakeRoute(std::string name, RequestKind kind) {
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

inline std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline void SendResponse(RawUpstream::Connection& connection,
                         const std::string& head, const std::string& body) {
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 " + head + "\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body));
}

inline void StartEventStream(RawUpstream::Connection& connection,
                             const std::string& body) {
  connection.socket->write(QByteArray::fromStdString(
      "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body));
  connection.socket->flush();
}

/// Breaks the connection off `at_ms` after the request.
inline RawUpstream::Script BreakAfter(int at_ms) {
  return [at_ms](auto& connection) {
    QTimer::singleShot(at_ms, connection.socket,
                       [s = connection.socket] { s->abort(); });
  };
}

/// Lets an upstream answer when it is asked for its report.
inline void AnswerReports(RawUpstream* upstream,
                          const std::string& body = "born 1000") {
  upstream->Serve("GET /report", [body](auto& connection) {
    SendResponse(connection, "200 OK", body);
  });
}

/// Whether a request with this text came on the connection.
inline bool HasReceived(const RawUpstream::Connection& connection,
                        std::string_view text) {
  return connection.received.find(text) != std::string::npos;
}

/// The ids of the events in what a caller received, in order.
inline std::vector<int> EventIds(const std::string& received) {
  std::vector<int> ids;
  for (std::size_t at = 0;
       (at = received.find("\nid: ", at)) != std::string::npos; ++at) {
    ids.push_back(std::stoi(received.substr(at + 5)));
  }
  return ids;
}

/// The address of a port that refuses connections.
inline Endpoint ClosedPort() {
  const auto port = ReservePort();
  REQUIRE(port != 0);
  return {"127.0.0.1", port};
}

/// A gateway behind an HTTP server, with routes to one service.
struct GatewayFixture {
  TestDialect dialect;
  EventLog log;
  ServiceMetrics metrics;
  TrueTime true_time{WallClockMs(), MonotonicNow()};
  Gateway gateway;
  std::unique_ptr<HttpServer> server;

  explicit GatewayFixture(bool configured = true, int log_descriptor = -1,
                          const GatewaySettings& settings = {})
      : log(log_descriptor),
        gateway(settings, {&dialect, &log, &metrics, &true_time}) {
    if (configured) Configure();
    Listen();
  }
  /// `confirmed_at`: when the routes were last known to be the newest.
  void Configure(TimePoint confirmed_at = MonotonicNow()) {
    RouteTableContent content;
    content.version = 1;
    content.routes = {MakeRoute("idempotent", RequestKind::kIdempotent),
                      MakeRoute("once", RequestKind::kNonIdempotent),
                      MakeRoute("stream", RequestKind::kStream),
                      MakeRoute("resumable", RequestKind::kStream)};
    content.routes.back().is_resumable = true;
    ServiceProfile service;
    service.name = "s";
    service.engine = EngineProfile{.slots = 4, .can_move_requests = true};
    content.services = {service};
    gateway.SetRoutes(std::make_shared<const RouteTable>(content));
    gateway.ConfirmRoutes(confirmed_at);
  }
  /// Makes all routes require the key "k" of a workspace with this quota in
  /// requests; a rate of 0 means no quota.
  void RequireKeys(double rate_per_s, double burst) {
    Reconfigure([&](auto* content) {
      for (auto& route : content->routes) route.is_public = false;
      WorkspaceProfile workspace;
      workspace.name = "w";
      workspace.keys = {"k"};
      workspace.rate_per_s = rate_per_s;
      workspace.burst = burst;
      content->workspaces = {workspace};
    });
  }
  /// Sets the timeout of all routes.
  void SetTimeouts(Duration timeout) {
    Reconfigure([&](auto* content) {
      for (auto& route : content->routes) route.timeout = timeout;
    });
  }
  /// Sets how many upstreams a request of any route may be sent to.
  void SetMaxUpstreams(int count) {
    Reconfigure([&](auto* content) {
      for (auto& route : content->routes) route.max_upstreams = count;
    });
  }
  /// Applies a configuration that differs by `change` from the current one.
  template <typename Change>
  void Reconfigure(const Change& change) {
    auto content = gateway.routes()->content();
    ++content.version;
    change(&content);
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
  void AddUpstream(const std::string& id, const RawUpstream& upstream,
                   bool leaving = false, const std::string& version = "") {
    AddUpstream(id, upstream.Address(), leaving, version);
  }
  void AddUpstream(const std::string& id, const Endpoint& endpoint,
                   bool leaving = false, const std::string& version = "",
                   std::int64_t born_ms = 0) {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.endpoint = endpoint;
    entry.slots = 4;
    entry.leaving = leaving;
    entry.software_version = version;
    entry.born_ms = born_ms;
    gateway.ApplyUpstream(entry);
  }
  /// The requests that the usage ledger counts.
  [[nodiscard]] std::int64_t UsageCount() {
    std::int64_t sum = 0;
    for (const auto& [window, counts] : gateway.ledger().windows()) {
      for (const auto& [workspace, count] : counts) sum += count;
    }
    return sum;
  }
  [[nodiscard]] std::unique_ptr<RawClient> SendRequest(
      const std::string& route, const std::string& extra = "",
      const std::string& id = "r1") {
    auto caller = std::make_unique<RawClient>(server->Port());
    caller->Send("POST /" + route + "/ HTTP/1.1\r\nHost: h\r\nId: " + id +
                 "\r\n" + extra + "Content-Length: 4\r\n\r\nbody");
    return caller;
  }
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TESTS_GATEWAY_FIXTURE_H_
