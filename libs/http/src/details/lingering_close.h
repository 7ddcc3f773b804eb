#ifndef FIRMOOR_HTTP_DETAILS_LINGERING_CLOSE_H_
#define FIRMOOR_HTTP_DETAILS_LINGERING_CLOSE_H_

#include <QTcpSocket>
#include <QTimer>
#include <functional>

#include "base/time.h"

namespace firmoor::details {

/// How long a closed connection waits for the end of its peer.
struct LingerBounds {
  /// From the last byte written. Peers that read have closed by then; it adds
  /// to the time that a process takes to stop.
  Duration time{1'000};
  /// Discarded input. A peer that sends more has to wait.
  qint64 bytes = 64 * 1024 * 1024;
  /// Without a byte taken by the peer while some wait for it.
  Duration stall{30'000};
};

/// Closes a socket without loss of what was written to it. A socket that is
/// closed while its peer still sends resets the connection, which destroys
/// bytes that the peer has not read. This writes all bytes, shuts down the
/// write side, discards input until the peer closes or the time is over, and
/// then closes the socket. The writing may take any time while the peer takes
/// bytes.
class LingeringClose {
 public:
  /// Does not own `socket`, whose signals must not outlive this object.
  /// `on_stalled` is to abort the socket of a peer that takes nothing.
  LingeringClose(QTcpSocket* socket, std::function<void()> on_stalled,
                 LingerBounds bounds = {});

  /// `QTcpSocket::disconnected` follows, unless the socket is closed already.
  void Start();

 private:
  void ShutDownIfWritten();
  void OnTimeout();
  void Discard();

  QTcpSocket* socket_;
  std::function<void()> on_stalled_;
  LingerBounds bounds_;
  QTimer timer_;
  qint64 discarded_bytes_ = 0;
  bool is_shut_down_ = false;
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_LINGERING_CLOSE_H_
