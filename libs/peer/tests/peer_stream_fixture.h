#ifndef FIRMOOR_PEER_TESTS_PEER_STREAM_FIXTURE_H_
#define FIRMOOR_PEER_TESTS_PEER_STREAM_FIXTURE_H_

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peer/peer_node.h"
#include "support/raw_socket.h"

namespace firmoor {

/// A peer node that collects the calls which are to be answered by a series of
/// messages, and answers plain calls at once, but those of the kind "hold".
struct StreamNode {
  struct Call {
    std::string kind;
    QByteArray message;
    std::shared_ptr<PeerStreamResponder> responder;
    int cancellations = 0;
  };

  std::vector<std::unique_ptr<Call>> calls;
  std::vector<PeerNode::Reply> held_replies;
  std::unique_ptr<PeerNode> node;

  explicit StreamNode(const std::string& token = "secret",
                      bool serves_streams = true) {
    PeerNode::Builder builder;
    builder.Listen({"127.0.0.1", 0})
        .Token(token)
        .Handler([this](const std::string& kind, const QByteArray& message,
                        const PeerNode::Reply& reply) {
          if (kind == "hold") return held_replies.push_back(reply);
          reply(QByteArray(kind.c_str()) + ":" + message);
        });
    if (serves_streams) {
      builder.StreamHandler(
          [this](const std::string& kind, const QByteArray& message,
                 std::shared_ptr<PeerStreamResponder> responder) {
            Serve(kind, message, std::move(responder));
          });
    }
    node = builder.Build();
    REQUIRE(node->Start());
  }
  [[nodiscard]] Endpoint Address() const { return {"127.0.0.1", node->Port()}; }
  /// The responder of the call number `index`, once that has arrived.
  [[nodiscard]] PeerStreamResponder& Responder(std::size_t index = 0) {
    REQUIRE(WaitUntil([&] { return calls.size() > index; }));
    return *calls[index]->responder;
  }
  [[nodiscard]] int Cancellations() const {
    int total = 0;
    for (const auto& call : calls) total += call->cancellations;
    return total;
  }

 private:
  void Serve(const std::string& kind, const QByteArray& message,
             std::shared_ptr<PeerStreamResponder> responder) {
    calls.push_back(
        std::make_unique<Call>(Call{kind, message, std::move(responder)}));
    auto* call = calls.back().get();
    call->responder->OnCancelled([call] { ++call->cancellations; });
  }
};

/// The client end of a stream, with what it received.
struct StreamCall {
  std::vector<QByteArray> messages;
  std::optional<PeerStatus> end;
  int ends = 0;
  /// Called after each message, unless empty.
  std::function<void()> on_message;
  std::unique_ptr<PeerStream> stream;

  StreamCall(StreamNode& from, const Endpoint& to,
             const QByteArray& message = "ask", const std::string& kind = "k") {
    PeerStream::Handlers handlers;
    handlers.on_message = [this](const QByteArray& received) {
      messages.push_back(received);
      if (on_message) on_message();
    };
    handlers.on_end = [this](PeerStatus status) {
      end = status;
      ++ends;
    };
    stream = from.node->OpenStream(to, kind, message, std::move(handlers));
    REQUIRE(stream);
    // Callbacks never run within the call that opens the stream.
    CHECK(!end);
  }
  bool WaitEnd() {
    return WaitUntil([&] { return end.has_value(); });
  }
  bool WaitMessages(std::size_t count) {
    return WaitUntil([&] { return messages.size() >= count; });
  }
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_TESTS_PEER_STREAM_FIXTURE_H_
