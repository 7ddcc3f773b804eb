#include "details/lingering_close.h"

#include <sys/socket.h>

#include <utility>

namespace firmoor::details {
namespace {

constexpr qint64 kReadBytes = 64 * 1024;

}  // namespace

LingeringClose::LingeringClose(QTcpSocket* socket,
                               std::function<void()> on_stalled,
                               LingerBounds bounds)
    : socket_(socket), on_stalled_(std::move(on_stalled)), bounds_(bounds) {
  timer_.setSingleShot(true);
}

void LingeringClose::Start() {
  QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_,
                   [this] { ShutDownIfWritten(); });
  QObject::connect(socket_, &QTcpSocket::readyRead, socket_,
                   [this] { Discard(); });
  QObject::connect(&timer_, &QTimer::timeout, socket_, [this] { OnTimeout(); });
  ShutDownIfWritten();
  Discard();
}

void LingeringClose::ShutDownIfWritten() {
  if (is_shut_down_) return;
  if (socket_->bytesToWrite() > 0) return timer_.start(bounds_.stall);
  is_shut_down_ = true;
  // `QTcpSocket` cannot close one direction only.
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  timer_.start(bounds_.time);
}

void LingeringClose::OnTimeout() {
  if (is_shut_down_) return socket_->abort();
  // After a standstill of the process the peer may have taken bytes unnoticed.
  if (!socket_->flush()) on_stalled_();
}

void LingeringClose::Discard() {
  if (discarded_bytes_ >= bounds_.bytes) return;
  discarded_bytes_ += socket_->read(kReadBytes).size();
}

}  // namespace firmoor::details
