#include "peer/peer_stream.h"

#include <doctest/doctest.h>

#include "peer_stream_fixture.h"

namespace firmoor {
namespace {

// A cancelled call is known to the other end within this time.
constexpr int kCancelMs = 100;

/// A message that differs from the others in its content and length.
QByteArray NumberedMessage(int number) {
  return QByteArray::number(number) + QByteArray(number % 50, 'x');
}

}  // namespace

TEST_CASE("a call that is answered by a series of messages") {
  StreamNode client;
  StreamNode server;

  SUBCASE("reaches the stream handler with its kind and message") {
    const QByteArray large(2'000'000, 'q');
    const StreamCall call(client, server.Address(), large, "sort");
    (void)server.Responder();
    CHECK(server.calls[0]->kind == "sort");
    CHECK(server.calls[0]->message == large);
    CHECK(call.stream->MayHaveBeenSent());
  }
  SUBCASE("delivers messages as they are sent, then the end, once") {
    StreamCall call(client, server.Address());
    auto& responder = server.Responder();
    responder.Send("a");
    REQUIRE(call.WaitMessages(1));
    CHECK(!call.end);
    CHECK(responder.IsOpen());
    responder.Send("");
    responder.Send("c");
    responder.Finish();
    REQUIRE(call.WaitEnd());
    CHECK(call.messages == std::vector<QByteArray>{"a", "", "c"});
    CHECK(*call.end == PeerStatus::kOk);
    CHECK(!responder.IsOpen());
    server.calls.clear();
    RunFor(20);
    CHECK(call.ends == 1);
  }
  SUBCASE("delivers many messages in order") {
    constexpr int kMessages = 20'000;
    StreamCall call(client, server.Address());
    auto& responder = server.Responder();
    for (int i = 0; i < kMessages; ++i) responder.Send(NumberedMessage(i));
    responder.Finish();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kOk);
    REQUIRE(call.messages.size() == kMessages);
    int different = 0;
    for (int i = 0; i < kMessages; ++i) {
      if (call.messages[static_cast<std::size_t>(i)] != NumberedMessage(i)) {
        ++different;
      }
    }
    CHECK(different == 0);
  }
  SUBCASE("delivers large messages whole") {
    constexpr int kMessages = 10;
    constexpr qsizetype kBytes = 2'000'000;
    StreamCall call(client, server.Address());
    auto& responder = server.Responder();
    for (int i = 0; i < kMessages; ++i) {
      responder.Send(QByteArray(kBytes, static_cast<char>('a' + i)));
    }
    responder.Finish();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kOk);
    REQUIRE(call.messages.size() == kMessages);
    for (int i = 0; i < kMessages; ++i) {
      const bool is_whole = call.messages[static_cast<std::size_t>(i)] ==
                            QByteArray(kBytes, static_cast<char>('a' + i));
      CHECK(is_whole);
    }
  }
}

TEST_CASE("the end of a stream") {
  StreamNode client;
  StreamNode server;

  SUBCASE("is a cut when the server aborts the series") {
    StreamCall call(client, server.Address());
    server.Responder().Send("a");
    REQUIRE(call.WaitMessages(1));
    server.Responder().Abort();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNoResponse);
    CHECK(call.messages == std::vector<QByteArray>{"a"});
    CHECK(server.Cancellations() == 0);
  }
  SUBCASE("is a cut when the server drops its responder") {
    StreamCall call(client, server.Address());
    (void)server.Responder();
    server.calls.clear();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNoResponse);
  }
  SUBCASE("is a cut when the server stops") {
    StreamCall call(client, server.Address());
    server.Responder().Send("a");
    REQUIRE(call.WaitMessages(1));
    server.node->Stop();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNoResponse);
    CHECK(call.ends == 1);
  }
  SUBCASE("is reported as not sent when nobody listens") {
    const auto address = server.Address();
    server.node->Stop();
    StreamCall call(client, address);
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNotSent);
    CHECK(!call.stream->MayHaveBeenSent());
  }
  SUBCASE("is complete without messages if the peer serves no streams") {
    StreamNode without_streams("secret", false);
    StreamCall call(client, without_streams.Address());
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kOk);
    CHECK(call.messages.empty());
  }
  // Guards against streams without the shared secret that stay open for ever:
  // their rejection was never completed.
  SUBCASE("is a failure without the shared secret") {
    StreamNode unauthorized("other");
    StreamCall call(unauthorized, server.Address());
    REQUIRE(call.WaitEnd());
    CHECK(*call.end != PeerStatus::kOk);
    CHECK(call.messages.empty());
    CHECK(server.calls.empty());
  }
  SUBCASE("may delete the stream") {
    StreamCall call(client, server.Address());
    call.on_message = [&] { call.stream.reset(); };
    server.Responder().Send("a");
    server.Responder().Finish();
    REQUIRE(call.WaitMessages(1));
    RunFor(20);
    CHECK(call.ends == 0);
  }
}

TEST_CASE("a stream that the client deletes") {
  StreamNode client;
  StreamNode server;
  StreamCall call(client, server.Address());

  SUBCASE("before it was sent does not reach the server") {
    CHECK(!call.stream->MayHaveBeenSent());
    call.stream.reset();
    RunFor(kCancelMs);
    CHECK(server.calls.empty());
    CHECK(!call.end);
  }
  SUBCASE("is cancelled at the server") {
    auto& responder = server.Responder();
    responder.Send("a");
    REQUIRE(call.WaitMessages(1));
    call.stream.reset();
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
    CHECK(!responder.IsOpen());
    SUBCASE("where all operations have no effect") {
      responder.Send("b");
      responder.Finish();
      responder.Abort();
      CHECK(responder.UnsentBytes() == 0);
      RunFor(20);
    }
    CHECK(call.messages.size() == 1);
    CHECK(!call.end);
    CHECK(server.Cancellations() == 1);
  }
  SUBCASE("from within the delivery of a message gets no further ones") {
    call.on_message = [&] { call.stream.reset(); };
    auto& responder = server.Responder();
    for (int i = 0; i < 100; ++i) responder.Send(NumberedMessage(i));
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
    RunFor(20);
    CHECK(call.messages.size() == 1);
    CHECK(!call.end);
  }
  SUBCASE("after its end is not cancelled") {
    server.Responder().Finish();
    REQUIRE(call.WaitEnd());
    call.stream.reset();
    RunFor(kCancelMs);
    CHECK(server.Cancellations() == 0);
  }
  // Guards against requests that a daemon serves after a standstill although
  // their sender has gone on elsewhere: call and cancellation were read at
  // once, and the server heard of the call only.
  SUBCASE("as soon as it was sent is cancelled if the server gets it") {
    (void)server.Responder();
    for (int i = 0; i < 20; ++i) {
      const StreamCall next(client, server.Address());
      REQUIRE(next.stream->MayHaveBeenSent());
    }
    RunFor(kCancelMs);
    CHECK(server.Cancellations() + 1 == static_cast<int>(server.calls.size()));
  }
}

TEST_CASE("a stream whose connection breaks") {
  StreamNode client;
  StreamNode server;
  StreamCall call(client, server.Address());
  auto& responder = server.Responder();

  SUBCASE("is cancelled at the server") {
    client.node->Stop();
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
    CHECK(!responder.IsOpen());
    responder.Send("late");
    responder.Finish();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNoResponse);
  }
  SUBCASE("may outlive the node of the client") {
    responder.Send("a");
    REQUIRE(call.WaitMessages(1));
    client.node.reset();
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
    call.stream->SetPaused(true);
    call.stream.reset();
    RunFor(20);
    CHECK(call.ends <= 1);
  }
  SUBCASE("may outlive the node of the server") {
    server.node.reset();
    responder.Send("late");
    responder.Finish();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kNoResponse);
    CHECK(server.Cancellations() == 1);
  }
  SUBCASE("may be deleted together with the node") {
    call.on_message = [&] { call.stream.reset(); };
    responder.Send("a");
    client.node.reset();
    call.stream.reset();
    RunFor(20);
    CHECK(!call.end);
  }
}

TEST_CASE("a paused stream") {
  constexpr int kMessages = 200;
  constexpr qsizetype kBytes = 100'000;
  // What the client and the kernel may hold: the window of a stream and the
  // socket buffers of both ends.
  constexpr std::size_t kMaxHeldBytes = 12'000'000;
  StreamNode client;
  StreamNode server;
  StreamCall call(client, server.Address());
  const auto send_all = [&] {
    for (int i = 0; i < kMessages; ++i) {
      server.Responder().Send(NumberedMessage(i).leftJustified(kBytes, '.'));
    }
  };
  const auto check_all = [&] {
    REQUIRE(call.WaitMessages(kMessages));
    REQUIRE(call.messages.size() == kMessages);
    int different = 0;
    for (int i = 0; i < kMessages; ++i) {
      const auto expected = NumberedMessage(i).leftJustified(kBytes, '.');
      if (call.messages[static_cast<std::size_t>(i)] != expected) ++different;
    }
    CHECK(different == 0);
  };

  SUBCASE("holds the server back, and delivers all once it is resumed") {
    server.Responder().Send("first");
    REQUIRE(call.WaitMessages(1));
    call.messages.clear();
    call.stream->SetPaused(true);
    send_all();
    RunFor(300);
    CHECK(call.messages.empty());
    CHECK(server.Responder().UnsentBytes() + kMaxHeldBytes >=
          static_cast<std::size_t>(kMessages * kBytes));
    SUBCASE("while other calls on the connection go on") {
      StreamCall other(client, server.Address());
      server.Responder(1).Send(QByteArray(2'000'000, 'o'));
      server.Responder(1).Finish();
      REQUIRE(other.WaitEnd());
      CHECK(*other.end == PeerStatus::kOk);
      QByteArray reply;
      client.node->Call(
          server.Address(), "echo", "x", Duration(1'000),
          [&](PeerStatus, const QByteArray& body) { reply = body; });
      CHECK(WaitUntil([&] { return reply == "echo:x"; }));
      CHECK(call.messages.empty());
    }
    call.stream->SetPaused(false);
    check_all();
    CHECK(WaitUntil([&] { return server.Responder().UnsentBytes() == 0; }));
    server.Responder().Finish();
    REQUIRE(call.WaitEnd());
    CHECK(*call.end == PeerStatus::kOk);
  }
  // Guards against a server that does not hear when it may send on, and against
  // sent bytes of a stream that never runs empty, which were kept.
  SUBCASE("tells the server when its bytes were sent") {
    call.stream->SetPaused(true);
    send_all();
    int notices = 0;
    server.Responder().OnSent([&] { ++notices; });
    RunFor(kCancelMs);
    const auto held = server.Responder().UnsentBytes();
    CHECK(held > kMaxHeldBytes / 2);
    const int before = notices;
    call.stream->SetPaused(false);
    REQUIRE(WaitUntil([&] { return server.Responder().UnsentBytes() == 0; }));
    CHECK(WaitUntil([&] { return notices > before; }));
    check_all();
  }
  SUBCASE("may be cancelled") {
    call.stream->SetPaused(true);
    (void)server.Responder();
    send_all();
    RunFor(20);
    call.stream.reset();
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
    RunFor(20);
    CHECK(call.messages.empty());
  }
  // Guards against a node that stops before its complete responses are sent.
  SUBCASE("is unsent until the client has taken it") {
    CHECK(!server.node->HasUnsentSeries());
    call.stream->SetPaused(true);
    (void)server.Responder();
    send_all();
    RunFor(20);
    // Whoever serves the call knows that it is not complete.
    CHECK(!server.node->HasUnsentSeries());
    server.Responder().Finish();
    RunFor(300);
    CHECK(server.node->HasUnsentSeries());
    SUBCASE("and complete then") {
      call.stream->SetPaused(false);
      check_all();
      CHECK(call.WaitEnd());
    }
    SUBCASE("or has left") { call.stream.reset(); }
    CHECK(WaitUntil([&] { return !server.node->HasUnsentSeries(); }));
  }
  SUBCASE("is unsent while its end waits at the socket") {
    server.Responder().Send(QByteArray(1'000'000, 's'));
    server.Responder().Finish();
    CHECK(server.node->HasUnsentSeries());
    REQUIRE(call.WaitEnd());
    CHECK(!server.node->HasUnsentSeries());
  }
  // Guards against a pause that is lost when the stream is not connected yet.
  SUBCASE("is paused from the start if it was before it was connected") {
    REQUIRE(!call.stream->MayHaveBeenSent());
    call.stream->SetPaused(true);
    server.Responder().Send("a");
    RunFor(kCancelMs);
    CHECK(call.messages.empty());
    call.stream->SetPaused(false);
    CHECK(call.WaitMessages(1));
  }
  SUBCASE("may be paused from within the delivery of a message") {
    call.on_message = [&] { call.stream->SetPaused(true); };
    server.Responder().Send("a");
    server.Responder().Send("b");
    REQUIRE(call.WaitMessages(1));
    RunFor(kCancelMs);
    CHECK(call.messages.size() == 1);
    call.stream->SetPaused(false);
    REQUIRE(call.WaitMessages(2));
    CHECK(call.messages[1] == "b");
  }
}

TEST_CASE("streams on one connection do not disturb each other") {
  StreamNode client;
  StreamNode server;
  StreamCall first(client, server.Address(), "1");
  StreamCall second(client, server.Address(), "2");
  // The server may get them in any order.
  (void)server.Responder(1);
  const auto of = [&](const QByteArray& message) -> PeerStreamResponder& {
    return *server.calls[server.calls[0]->message == message ? 0 : 1]
                ->responder;
  };
  for (int i = 0; i < 100; ++i) {
    of("1").Send("1-" + NumberedMessage(i));
    of("2").Send("2-" + NumberedMessage(i));
  }
  SUBCASE("while both go on, beside plain calls") {
    QByteArray reply;
    client.node->Call(
        server.Address(), "echo", "x", Duration(1'000),
        [&](PeerStatus, const QByteArray& body) { reply = body; });
    REQUIRE(first.WaitMessages(100));
    REQUIRE(second.WaitMessages(100));
    CHECK(WaitUntil([&] { return reply == "echo:x"; }));
    CHECK(first.messages[99] == "1-" + NumberedMessage(99));
    CHECK(second.messages[99] == "2-" + NumberedMessage(99));
  }
  SUBCASE("when one is cut") {
    REQUIRE(first.WaitMessages(100));
    of("1").Abort();
    REQUIRE(first.WaitEnd());
    CHECK(*first.end == PeerStatus::kNoResponse);
  }
  SUBCASE("when one is cancelled") {
    first.stream.reset();
    CHECK(WaitUntil([&] { return server.Cancellations() == 1; }, kCancelMs));
  }
  of("2").Finish();
  REQUIRE(second.WaitEnd());
  CHECK(*second.end == PeerStatus::kOk);
  CHECK(second.messages.size() == 100);
}

TEST_CASE("a connection whose peer is silent") {
  // Time after which an unanswered stream says something about its connection.
  constexpr int kStreamWaitMs = 350;
  StreamNode client;
  RawUpstream silent([](auto&) {});
  const auto open_for = [&](int ms) {
    StreamCall call(client, silent.Address());
    REQUIRE(WaitUntil([&] { return call.stream->MayHaveBeenSent(); }));
    RunFor(ms);
    CHECK(!call.end);
  };

  SUBCASE("is replaced after two streams without a message") {
    for (int i = 0; i < 2; ++i) open_for(kStreamWaitMs);
    RunFor(20);
    open_for(20);
    CHECK(silent.Connections() == 2);
  }
  SUBCASE("is kept while the streams were released early") {
    for (int i = 0; i < 5; ++i) open_for(20);
    CHECK(silent.Connections() == 1);
  }
}

}  // namespace firmoor
