#include <doctest/doctest.h>

#include <QTimer>
#include <array>
#include <memory>
#include <optional>
#include <vector>

#include "pausing_link.h"
#include "peer_stream_fixture.h"

namespace firmoor {
namespace {

// Time-out of a call that says something about its connection.
constexpr int kJudgedMs = 500;
// The same for a stream that is released without a message.
constexpr int kStreamWaitMs = 280;

/// The client end of a plain call.
struct PlainCall {
  std::optional<PeerStatus> status;

  PlainCall(StreamNode& from, const Endpoint& to, int timeout_ms,
            const std::string& kind = "echo") {
    from.node->Call(
        to, kind, "x", Duration(timeout_ms),
        [this](PeerStatus outcome, const QByteArray&) { status = outcome; });
  }
  bool Wait() {
    return WaitUntil([&] { return status.has_value(); });
  }
};

/// A client and a server whose link may pause.
struct Pausing {
  StreamNode client;
  StreamNode server;
  PausingLink link{server.Address()};

  void CallUnanswered(const std::string& kind = "echo") {
    PlainCall call(client, link.Address(), kJudgedMs, kind);
    REQUIRE(call.Wait());
    CHECK(*call.status == PeerStatus::kNoResponse);
  }
  /// Two calls or streams without an answer, which retire the connection.
  void BeSilent(bool by_streams) {
    if (!by_streams) {
      for (int i = 0; i < 2; ++i) CallUnanswered();
      return;
    }
    const StreamCall first(client, link.Address());
    const StreamCall second(client, link.Address());
    RunFor(kStreamWaitMs);
  }
  void CheckCall() {
    PlainCall call(client, link.Address(), 2'000);
    REQUIRE(call.Wait());
    CHECK(*call.status == PeerStatus::kOk);
  }
};

}  // namespace

// Guards against requests in flight that were broken because others on their
// connection had no answer while the peer paused.
TEST_CASE("what is in flight at a peer that pauses") {
  Pausing fleet;
  StreamCall flowing(fleet.client, fleet.link.Address());
  fleet.server.Responder().Send("a");
  REQUIRE(flowing.WaitMessages(1));
  StreamCall waiting(fleet.client, fleet.link.Address());
  (void)fleet.server.Responder(1);
  fleet.link.Pause();
  PlainCall plain(fleet.client, fleet.link.Address(), 10'000);
  SUBCASE("goes on after two unanswered calls") { fleet.BeSilent(false); }
  SUBCASE("goes on after two streams without a message") {
    fleet.BeSilent(true);
  }
  SUBCASE("goes on after four unanswered calls") {
    for (int i = 0; i < 2; ++i) fleet.BeSilent(false);
  }
  RunFor(20);
  CHECK(!flowing.end);
  CHECK(!waiting.end);
  CHECK(!plain.status);
  fleet.link.GoOn();
  fleet.CheckCall();
  fleet.server.Responder().Send("b");
  fleet.server.Responder().Finish();
  fleet.server.Responder(1).Send("c");
  fleet.server.Responder(1).Finish();
  REQUIRE(flowing.WaitEnd());
  REQUIRE(waiting.WaitEnd());
  REQUIRE(plain.Wait());
  CHECK(*flowing.end == PeerStatus::kOk);
  CHECK(flowing.messages == std::vector<QByteArray>{"a", "b"});
  CHECK(*waiting.end == PeerStatus::kOk);
  CHECK(waiting.messages == std::vector<QByteArray>{"c"});
  CHECK(*plain.status == PeerStatus::kOk);
  CHECK(fleet.server.Cancellations() == 0);
}

TEST_CASE("a connection without answers that has an open stream") {
  Pausing fleet;
  StreamCall open(fleet.client, fleet.link.Address());
  fleet.server.Responder().Send("a");
  REQUIRE(open.WaitMessages(1));
  fleet.link.Pause();
  fleet.BeSilent(false);
  fleet.link.GoOn();
  fleet.CheckCall();
  CHECK(fleet.link.Connections() == 2);
  fleet.CheckCall();
  CHECK(fleet.link.Connections() == 2);
  CHECK(fleet.link.IsOpen(0));
  const auto is_closed = [&] { return !fleet.link.IsOpen(0); };

  SUBCASE("is closed when the stream has ended") {
    fleet.server.Responder().Finish();
    REQUIRE(open.WaitEnd());
    CHECK(*open.end == PeerStatus::kOk);
    CHECK(WaitUntil(is_closed));
  }
  SUBCASE("is closed when the owner of the stream gives it up") {
    open.stream.reset();
    CHECK(WaitUntil(is_closed));
    const auto& cancellations = fleet.server.calls.front()->cancellations;
    CHECK(WaitUntil([&] { return cancellations == 1; }));
  }
  fleet.CheckCall();
  CHECK(fleet.link.Connections() == 2);
  CHECK(fleet.link.OpenConnections() == 1);
}

TEST_CASE("a stream on a connection that gets no new calls") {
  Pausing fleet;
  StreamCall open(fleet.client, fleet.link.Address());
  fleet.server.Responder().Send("a");
  REQUIRE(open.WaitMessages(1));
  fleet.link.Pause();
  fleet.BeSilent(false);
  fleet.link.GoOn();
  fleet.CheckCall();
  REQUIRE(fleet.link.IsOpen(0));

  SUBCASE("is cut when the peer stops") {
    fleet.server.node->Stop();
    REQUIRE(open.WaitEnd());
  }
  SUBCASE("is cut when the node stops") {
    fleet.client.node->Stop();
    REQUIRE(open.WaitEnd());
  }
  SUBCASE("may outlive the node") {
    fleet.client.node.reset();
    open.stream.reset();
  }
  CHECK(WaitUntil([&] { return fleet.link.OpenConnections() == 0; }));
  CHECK(open.end.value_or(PeerStatus::kNoResponse) == PeerStatus::kNoResponse);
  CHECK(open.ends <= 1);
}

// Guards against a connection that was given up although messages came on it.
TEST_CASE("a connection is kept after unanswered calls") {
  Pausing fleet;
  StreamCall open(fleet.client, fleet.link.Address());
  auto& responder = fleet.server.Responder();
  responder.Send("a");
  REQUIRE(open.WaitMessages(1));

  SUBCASE("with a message of a stream between them") {
    for (std::size_t i = 2; i < 4; ++i) {
      fleet.link.Pause();
      fleet.CallUnanswered();
      fleet.link.GoOn();
      responder.Send("more");
      REQUIRE(open.WaitMessages(i));
    }
  }
  SUBCASE("that end together while a stream flows") {
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer,
                     [&] { responder.Send("more"); });
    timer.start(10);
    PlainCall first(fleet.client, fleet.link.Address(), kJudgedMs, "hold");
    PlainCall second(fleet.client, fleet.link.Address(), kJudgedMs, "hold");
    const StreamCall third(fleet.client, fleet.link.Address());
    const StreamCall fourth(fleet.client, fleet.link.Address());
    REQUIRE(first.Wait());
    REQUIRE(second.Wait());
    CHECK(*second.status == PeerStatus::kNoResponse);
  }
  SUBCASE("with a message that waits as its stream is paused") {
    open.stream->SetPaused(true);
    fleet.link.Pause();
    fleet.CallUnanswered();
    fleet.link.GoOn();
    responder.Send("more");
    RunFor(50);
    fleet.link.Pause();
    fleet.CallUnanswered();
    fleet.link.GoOn();
  }
  fleet.CheckCall();
  CHECK(!open.end);
  CHECK(fleet.link.Connections() == 1);
}

// Guards against connections to a dead peer that pile up.
TEST_CASE("the connections to a peer that stays silent") {
  constexpr std::size_t kSilences = 11;
  // Those that are kept for their streams, and the one for new calls.
  constexpr std::size_t kMaxOpen = 9;
  Pausing fleet;
  fleet.link.Pause();
  std::vector<std::unique_ptr<StreamCall>> open;
  const auto be_silent_with_streams = [&](std::size_t times) {
    for (std::size_t i = 0; i < times; ++i) {
      open.push_back(
          std::make_unique<StreamCall>(fleet.client, fleet.link.Address()));
      fleet.BeSilent(true);
    }
    RunFor(20);
  };

  SUBCASE("are few while streams are open on all of them") {
    be_silent_with_streams(kSilences);
    CHECK(fleet.link.Connections() == kSilences);
    CHECK(fleet.link.OpenConnections() <= kMaxOpen);
    // The oldest were closed.
    REQUIRE(open.front()->WaitEnd());
    CHECK(*open.front()->end == PeerStatus::kNoResponse);
    CHECK(!open.back()->end);
    for (const auto& call : open) call->stream.reset();
    CHECK(WaitUntil([&] { return fleet.link.OpenConnections() == 0; }));
  }
  SUBCASE("are closed one after the other without open streams") {
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.BeSilent(true);
      CHECK(WaitUntil([&] { return fleet.link.OpenConnections() == 0; }));
      CHECK(fleet.link.Connections() == i + 1);
    }
  }
  SUBCASE("without open streams do not displace those with one") {
    be_silent_with_streams(kMaxOpen - 1);
    for (int i = 0; i < 2; ++i) fleet.BeSilent(true);
    RunFor(20);
    CHECK(!open.front()->end);
    CHECK(fleet.link.IsOpen(0));
    CHECK(fleet.link.OpenConnections() == kMaxOpen - 1);
  }
}

// Guards against calls that wait for a connection which can't be established,
// although they can go elsewhere.
TEST_CASE(
    "calls that wait for a connection end as not sent when it is given up") {
  StreamNode client;
  QTcpServer full;
  full.setListenBacklogSize(1);
  REQUIRE(full.listen(QHostAddress(QHostAddress::LocalHost), 0));
  full.pauseAccepting();
  // More than its backlog, so that further connections are not established.
  std::array<QTcpSocket, 4> others;
  for (auto& other : others) {
    other.connectToHost(full.serverAddress(), full.serverPort());
  }
  RunFor(50);
  const Endpoint address{"127.0.0.1", full.serverPort()};
  StreamCall waiting(client, address);
  PlainCall plain(client, address, 10'000);
  {
    const StreamCall first(client, address);
    const StreamCall second(client, address);
    RunFor(kStreamWaitMs);
    CHECK(!first.stream->MayHaveBeenSent());
  }
  REQUIRE(waiting.WaitEnd());
  CHECK(*waiting.end == PeerStatus::kNotSent);
  CHECK(plain.status == PeerStatus::kNotSent);
}

}  // namespace firmoor
