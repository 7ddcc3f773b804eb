#ifndef FIRMOOR_PEER_PEER_NODE_H_
#define FIRMOOR_PEER_PEER_NODE_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// How a call to another daemon ended.
enum class PeerStatus {
  kOk,
  kNotSent,   ///< Refused connection or stream: the peer has not seen it.
  kNoAnswer,  ///< Sent, but no whole answer came in time.
};

/// Calls between daemons: nghttp2 streams over TCP with CBOR messages. One
/// connection to each peer is kept while it is used and closed when idle;
/// outgoing connections leave from the address of the listener. Not
/// thread-safe; callbacks run in the event loop.
class PeerNode {
 public:
  using Reply = std::function<void(const QByteArray&)>;
  /// Serves a call; `reply` may be called later, once.
  using Handler = std::function<void(const std::string& kind,
                                     const QByteArray& message, Reply reply)>;
  using Done = std::function<void(PeerStatus, const QByteArray&)>;

  /// Bytes since the start, for metrics.
  struct Traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t calls = 0;
    std::uint64_t served = 0;
  };

  /// Collects the properties of a node.
  class Builder {
   public:
    Builder();
    ~Builder();
    Builder& Listen(Endpoint endpoint);
    /// Shared secret; calls without it are refused.
    Builder& Token(std::string token);
    Builder& Handler(PeerNode::Handler handler);
    std::unique_ptr<PeerNode> Build();

   private:
    friend class PeerNode;
    struct Impl;
    std::unique_ptr<Impl> impl_;
  };

  ~PeerNode();

  bool Start();
  /// Closes the listener and all connections; open calls end unanswered.
  void Stop();

  /// Calls `kind` at the peer; `done` runs once, at the latest after
  /// `timeout`.
  void Call(const Endpoint& peer, const std::string& kind,
            const QByteArray& message, Duration timeout, Done done);

  [[nodiscard]] Traffic traffic() const;
  [[nodiscard]] std::uint16_t Port() const;

 private:
  explicit PeerNode(std::unique_ptr<Builder::Impl> impl);

  std::unique_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_PEER_NODE_H_
