#ifndef FIRMOOR_PEER_PEER_NODE_H_
#define FIRMOOR_PEER_PEER_NODE_H_

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/message.h"
#include "peer/peer_stream.h"

namespace firmoor {

/// Remote calls between daemons: HTTP/2 streams (nghttp2) over TCP with CBOR
/// messages. Keeps one connection to each peer while it is in use and closes it
/// when idle. A connection whose calls are not answered gets no new ones; what
/// is open on it goes on, and few such connections are kept to a peer. Outgoing
/// connections are bound to the address of the listener.
/// Not thread-safe; callbacks run in the event loop.
class PeerNode {
 public:
  using Reply = std::function<void(const QByteArray&)>;
  /// Serves a call; `reply` may be called later, and only once.
  using Handler = std::function<void(const std::string& kind,
                                     const QByteArray& message, Reply reply)>;
  /// Serves a call that is answered by a series of messages.
  using StreamHandler =
      std::function<void(const std::string& kind, const QByteArray& message,
                         std::shared_ptr<PeerStreamResponder> responder)>;
  using Done = std::function<void(PeerStatus, const QByteArray&)>;

  /// Counters since the start, for metrics.
  struct Traffic {
    std::uint64_t sent = 0;      ///< Bytes.
    std::uint64_t received = 0;  ///< Bytes.
    std::uint64_t calls = 0;
    std::uint64_t served = 0;
  };

  class Builder {
   public:
    Builder();
    ~Builder();
    Builder& Listen(Endpoint endpoint);
    /// Shared secret; calls without it are rejected.
    Builder& Token(std::string token);
    Builder& Handler(PeerNode::Handler handler);
    /// Without one, series without messages are returned.
    Builder& StreamHandler(PeerNode::StreamHandler handler);
    std::unique_ptr<PeerNode> Build();

   private:
    friend class PeerNode;
    struct Impl;
    std::unique_ptr<Impl> impl_;
  };

  ~PeerNode();

  bool Start();
  /// Whether the last `Start` failed because the endpoint is in use.
  [[nodiscard]] bool IsAddressInUse() const;
  /// Closes the listener and all connections; open calls end with
  /// `kNoResponse`, or `kNotSent` while still connecting.
  void Stop();

  /// Calls the handler of `peer` with `kind` and `message`; `done` runs once,
  /// after `timeout` at the latest.
  void Call(const Endpoint& peer, const std::string& kind,
            const QByteArray& message, Duration timeout, Done done);

  /// Calls the stream handler of `peer`. Null if the node is stopped. Peers of
  /// builds without stream handlers return a series without messages.
  std::unique_ptr<PeerStream> OpenStream(const Endpoint& peer,
                                         const std::string& kind,
                                         const QByteArray& message,
                                         PeerStream::Handlers handlers);

  /// Whether a series that this node completed was not wholly handed to the
  /// kernel: `Stop` would cut it.
  [[nodiscard]] bool HasUnsentSeries() const;
  [[nodiscard]] Traffic traffic() const;
  [[nodiscard]] std::uint16_t Port() const;

 private:
  explicit PeerNode(std::unique_ptr<Builder::Impl> impl);

  std::unique_ptr<Builder::Impl> impl_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_PEER_NODE_H_
