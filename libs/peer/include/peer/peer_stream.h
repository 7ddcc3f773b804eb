#ifndef FIRMOOR_PEER_PEER_STREAM_H_
#define FIRMOOR_PEER_PEER_STREAM_H_

#include <QByteArray>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace firmoor {

/// Outcome of a call to another daemon.
enum class PeerStatus {
  kOk,
  kNotSent,     ///< Connection or stream refused: the peer did not process it.
  kNoResponse,  ///< Sent, but no complete response arrived in time.
};

namespace details {
class Http2Connection;
}

/// Client end of a call to another daemon whose response is a series of
/// messages. Deleting it cancels the call without further callbacks. Not
/// thread-safe; callbacks run in the event loop, never within the call that
/// opens the stream, and may delete the stream.
class PeerStream {
 public:
  struct Handlers {
    std::function<void(const QByteArray& message)> on_message;
    /// Called once, last: `kOk` if the peer completed the series, `kNotSent` if
    /// it did not process the call, `kNoResponse` if the series was cut.
    std::function<void(PeerStatus)> on_end;
  };

  ~PeerStream();

  /// Whether the peer may have received the call.
  [[nodiscard]] bool MayHaveBeenSent() const;
  /// Stops or resumes the delivery of messages. While it is stopped, the peer
  /// can send as much as the stream's flow control window only.
  void SetPaused(bool paused);

  struct Impl;

 private:
  friend class PeerNode;
  explicit PeerStream(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

/// Server end of such a call. After the client has left, all operations are
/// safe and have no effect. Deleting it unfinished cuts the series.
class PeerStreamResponder {
 public:
  PeerStreamResponder(std::weak_ptr<details::Http2Connection> connection,
                      std::int32_t stream_id);
  ~PeerStreamResponder();

  /// Keeps `resource` until all messages are handed to the kernel or the call
  /// has ended.
  void Keep(std::shared_ptr<const void> resource);
  void Send(const QByteArray& message);
  /// Completes the series.
  void Finish();
  /// Cuts the series, so that the client sees `kNoResponse`.
  void Abort();
  [[nodiscard]] bool IsOpen() const;
  /// Bytes that were not yet handed to the kernel, to limit buffering.
  [[nodiscard]] std::size_t UnsentBytes() const;
  /// Sets a handler that is called from the event loop after bytes were handed
  /// to the kernel, until the series is finished or cut.
  void OnSent(std::function<void()> handler);
  /// Sets a handler that is called once if the client cancels the call or its
  /// connection breaks before `Finish`.
  void OnCancelled(std::function<void()> handler);

 private:
  std::weak_ptr<details::Http2Connection> connection_;
  std::int32_t stream_id_;
};

}  // namespace firmoor

#endif  // FIRMOOR_PEER_PEER_STREAM_H_
