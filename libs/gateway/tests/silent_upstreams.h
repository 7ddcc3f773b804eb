#ifndef FIRMOOR_GATEWAY_TESTS_SILENT_UPSTREAMS_H_
#define FIRMOOR_GATEWAY_TESTS_SILENT_UPSTREAMS_H_

#include <QTimer>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "support/log_pipe.h"

namespace firmoor {

/// A cancelled attempt's connection closes within this time.
constexpr int kCancelMs = 400;
// The gateway tries another upstream after 1,500 ms between two events.
constexpr int kPauseInStreamMs = 1'900;
/// The head of a response to a request that was not run.
constexpr const char* kNotRun = "503 Service Unavailable\r\nNot-Run: 1";

/// When an upstream sends the event with this id, after it got the request.
struct TimedEvent {
  int id;
  int at_ms;
};

/// Sends the events in their order as one stream; its head precedes the first
/// one.
inline RawUpstream::Script SendEvents(const std::vector<TimedEvent>& events) {
  return [events](auto& connection) {
    std::size_t size = 0;
    for (const auto& event : events) size += MakeEvent(event.id).size();
    auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
                "\r\n\r\n";
    for (const auto& event : events) {
      const auto bytes = std::exchange(head, "") + MakeEvent(event.id);
      QTimer::singleShot(event.at_ms, connection.socket,
                         [s = connection.socket, bytes] {
                           s->write(QByteArray::fromStdString(bytes));
                           s->flush();
                         });
    }
  };
}

/// Sends event 1, pauses, and completes the stream with event 2.
inline RawUpstream::Script PauseInStream(int pause_ms = kPauseInStreamMs) {
  return SendEvents({{1, 0}, {2, pause_ms}});
}

/// Sends a whole response after `at_ms`.
inline RawUpstream::Script AnswerAfter(int at_ms, const std::string& head,
                                       const std::string& body) {
  return [=](auto& connection) {
    QTimer::singleShot(at_ms, connection.socket, [&connection, head, body] {
      SendResponse(connection, head, body);
    });
  };
}

/// Rejects each request as not run.
inline void RejectNotRun(RawUpstream::Connection& connection) {
  SendResponse(connection, kNotRun, "");
}

/// The first connection that brought a request; others only test the link.
inline RawUpstream::Connection& WithRequest(RawUpstream& upstream) {
  for (std::size_t i = 0; i < upstream.Connections(); ++i) {
    if (upstream.At(i).requests > 0) return upstream.At(i);
  }
  throw std::logic_error("the upstream has no request");
}

inline bool IsClosed(const RawUpstream::Connection& connection) {
  return connection.socket->state() == QAbstractSocket::UnconnectedState;
}

/// Whether the ids of the events in what a caller received are these.
inline bool HasEvents(RawClient& caller, const std::vector<int>& ids) {
  return EventIds(caller.Received()) == ids;
}

/// A request to upstream "a", beside which another attempt starts at "b" if "a"
/// is silent.
struct RacedRequest {
  LogPipe log;
  GatewayFixture fixture;
  RawUpstream a;
  RawUpstream b;
  std::unique_ptr<RawClient> caller;

  RacedRequest(RawUpstream::Script first, RawUpstream::Script second)
      : fixture(true, log.input()), a(std::move(first)), b(std::move(second)) {}
  /// Sends the request, and adds "b" when "a" has it.
  void Start(const std::string& route, const std::string& extra = "") {
    StartAtFirst(route, extra);
    fixture.AddUpstream("b", b);
  }
  /// Sends the request to "a", and adds "b" after its first event.
  void StartStream(const std::string& extra = "") {
    StartAtFirst("resumable", extra);
    REQUIRE(caller->WaitFor("id: 1"));
    fixture.AddUpstream("b", b);
  }
  void StartAtFirst(const std::string& route, const std::string& extra = "") {
    fixture.AddUpstream("a", a);
    caller = fixture.SendRequest(route, extra);
    REQUIRE(WaitUntil([&] { return a.Requests() == 1; }));
  }
  /// Whether the second attempt starts before the first one's pause is over.
  [[nodiscard]] bool WaitForSecond() const {
    return WaitUntil([&] { return b.Requests() == 1; }, 1'800);
  }
  [[nodiscard]] bool WaitBothClosed() {
    return WaitUntil(
        [&] { return IsClosed(WithRequest(a)) && IsClosed(WithRequest(b)); },
        kCancelMs);
  }
  [[nodiscard]] bool HasMetric(const std::string& end, int count) const {
    return fixture.gateway.StreamMetrics().find(
               "firmoor_attempts_beside_total{end=\"" + end + "\"} " +
               std::to_string(count) + "\n") != std::string::npos;
  }
  /// Requests at the service's upstreams, as the picker counts them.
  [[nodiscard]] double InFlight() const {
    const auto loads = fixture.gateway.Loads();
    const auto found = loads.find("s");
    return found == loads.end() ? 0 : found->second.in_flight;
  }
};

}  // namespace firmoor

#endif  // FIRMOOR_GATEWAY_TESTS_SILENT_UPSTREAMS_H_
